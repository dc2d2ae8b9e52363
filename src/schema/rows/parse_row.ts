import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";
import { nestingDepth } from "../../core/check/nesting_depth.ts";

/** Rows of this system are nested less deeply, whatever a later build adds. */
const maxDepth = 64;

/** Parses a row's value; the error says why it cannot be read. */
export function parseRow<T>(
  schema: v.GenericSchema<unknown, T>,
  text: string,
): Result<T, string> {
  if (nestingDepth(text) > maxDepth) return err("nested too deeply");
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return err("not JSON");
  }
  const result = v.safeParse(schema, parsed, { abortEarly: true });
  if (result.success) return ok(result.output);
  const [issue] = result.issues;
  return err(`${v.getDotPath(issue) ?? "row"}: ${issue.message}`);
}
