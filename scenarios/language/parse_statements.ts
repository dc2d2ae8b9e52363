import type { Statement } from "./statement.ts";

/** Splits a scenario into statements, one a line; `#` starts a comment. */
export function* parseStatements(text: string): Generator<Statement> {
  for (const [index, source] of text.split("\n").entries()) {
    const tokens = source.replace(/#.*$/, "").trim().split(/\s+/);
    if (tokens[0] === "") continue;
    const words = tokens.filter((token) => !/^[\w-]+=/.test(token));
    const pairs = tokens
      .filter((token) => /^[\w-]+=/.test(token))
      .map((token): [string, string] => {
        const split = token.indexOf("=");
        return [token.slice(0, split), token.slice(split + 1)];
      });
    yield { line: index + 1, words, args: new Map(pairs) };
  }
}
