import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";
import { isNestedWithin } from "../../core/check/is_nested_within.ts";

/** Rows of this system are nested less deeply, whatever a later build adds. */
const maxDepth = 64;

/** Parses a row's value; the error says why it cannot be read. */
export function parseRow<T>(
  schema: v.GenericSchema<unknown, T>,
  text: string,
): Result<T, string> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return err("not JSON");
  }
  if (!isNestedWithin(parsed, maxDepth)) return err("nested too deeply");
  const result = v.safeParse(schema, parsed, { abortEarly: true });
  if (result.success) return ok(result.output);
  const [issue] = result.issues;
  return err(`${v.getDotPath(issue) ?? "row"}: ${issue.message}`);
}
