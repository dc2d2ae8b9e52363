import type * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import { formatIssue } from "./format_issue.ts";
import { safeLoadFile } from "./safe_load_file.ts";

/** Reads and validates a file; throws a GpError that lists all issues. */
export function loadFile<T>(
  file: string,
  schema: v.GenericSchema<unknown, T>,
  kind: "bad_settings" | "bad_configuration",
): T {
  return safeLoadFile(file, schema).unwrapOrElse((issues) => {
    throw new GpError(kind, issues.map(formatIssue).join("\n"));
  });
}
