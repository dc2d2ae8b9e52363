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

/** Validates a file's text by a schema; returns the value or all issues. */
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
      ...locationAt(text, offset),
      code: "syntax",
      problem,
    }]);
  }
  const result = v.safeParse(schema, getNodeValue(tree));
  if (result.success) return Result.ok(result.output);
  return Result.err(
    result.issues.map((issue) => toFileIssue(file, text, tree, issue)),
  );
}

function toFileIssue(
  file: string,
  text: string,
  tree: Node,
  issue: v.BaseIssue<unknown>,
): FileIssue {
  const path = (issue.path ?? []).map(({ key }) => key as string | number);
  const field = path.length === 0 ? "the file" : path.join(".");
  const location = locationAt(text, offsetOf(tree, path));
  const isMissing = issue.kind === "schema" && issue.received === "undefined";
  if (isMissing) return { file, ...location, code: "missing_field", field };
  const isUnknown = issue.type === "strict_object" &&
    issue.expected === "never";
  if (isUnknown) return { file, ...location, code: "unknown_field", field };
  const expected = issue.message;
  return { file, ...location, code: "invalid_value", field, expected };
}

/** Returns the offset of a field, or of its nearest ancestor in the file. */
function offsetOf(tree: Node, path: readonly (string | number)[]): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node === undefined) continue;
    return node.parent?.type === "property" ? node.parent.offset : node.offset;
  }
  return tree.offset;
}

function locationAt(
  text: string,
  offset: number,
): { line: number; column: number } {
  const linesBefore = text.slice(0, offset).split("\n");
  return {
    line: linesBefore.length,
    column: (linesBefore.at(-1)?.length ?? 0) + 1,
  };
}
