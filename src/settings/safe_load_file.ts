import { readFileSync } from "node:fs";
import { Result } from "true-myth";
import type * as v from "valibot";
import type { FileIssue } from "./file_issue.ts";
import { safeParseFile } from "./safe_parse_file.ts";

/** Reads and validates a file; returns the value or all issues. */
export function safeLoadFile<T>(
  file: string,
  schema: v.GenericSchema<unknown, T>,
): Result<T, FileIssue[]> {
  try {
    return safeParseFile(file, readFileSync(file, "utf8"), schema);
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? String(cause);
    return Result.err([
      { file, line: 1, column: 1, code: "unreadable", cause: code },
    ]);
  }
}
