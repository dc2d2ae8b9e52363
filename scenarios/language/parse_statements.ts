import type { Statement } from "./statement.ts";

/** Splits a scenario into statements; `#` starts a remark. */
export function* parseStatements(text: string): Generator<Statement> {
  for (const [index, raw] of text.split("\n").entries()) {
    const tokens = raw.replace(/#.*$/, "").trim().split(/\s+/);
    if (tokens[0] === "") continue;
    const words = tokens.filter((token) => !/^[\w-]+=/.test(token));
    const pairs = tokens
      .filter((token) => /^[\w-]+=/.test(token))
      .map((token): [string, string] => {
        const at = token.indexOf("=");
        return [token.slice(0, at), token.slice(at + 1)];
      });
    yield { line: index + 1, words, args: new Map(pairs) };
  }
}
