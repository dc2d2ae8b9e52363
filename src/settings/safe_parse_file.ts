import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { Result } from "true-myth";
import * as v from "valibot";
import type { FileIssue } from "./file_issue.ts";

type Schema<T> = v.GenericSchema<unknown, T>;

/** Checks a file's text against a schema; gives the value or all issues. */
export function safeParseFile<T>(
  file: string,
  text: string,
  schema: Schema<T>,
): Result<T, FileIssue[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  const [error] = errors;
  if (error !== undefined || tree === undefined) {
    const offset = error?.offset ?? 0;
    const problem = error
      ? printParseErrorCode(error.error)
      : "the file is empty";
    return Result.err([{
      file,
      ...placeOf(text, offset),
      code: "syntax",
      problem,
    }]);
  }
  const checked = v.safeParse(schema, getNodeValue(tree));
  if (checked.success) return Result.ok(checked.output);
  return Result.err(
    checked.issues.map((issue) => issueOf(file, text, tree, issue)),
  );
}

function issueOf(
  file: string,
  text: string,
  tree: Node,
  issue: v.BaseIssue<unknown>,
): FileIssue {
  const path = (issue.path ?? []).map(({ key }) => key as string | number);
  const field = path.length === 0 ? "the file" : path.join(".");
  const place = placeOf(text, offsetOf(tree, path));
  const isAbsent = issue.kind === "schema" && issue.received === "undefined";
  if (isAbsent) return { file, ...place, code: "missing_field", field };
  const isUnknown = issue.type === "strict_object" &&
    issue.expected === "never";
  if (isUnknown) return { file, ...place, code: "unknown_field", field };
  const expected = issue.message;
  return { file, ...place, code: "invalid_value", field, expected };
}

/** Where the field stands, or the nearest field around it that does. */
function offsetOf(tree: Node, path: readonly (string | number)[]): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node === undefined) continue;
    return node.parent?.type === "property" ? node.parent.offset : node.offset;
  }
  return tree.offset;
}

function placeOf(
  text: string,
  offset: number,
): { line: number; column: number } {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
