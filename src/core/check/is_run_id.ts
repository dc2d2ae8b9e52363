import { isRecord } from "./is_record.ts";

/** Whether a value names a run of a task. */
export function isRunId(value: unknown): value is Record<string, unknown> {
  return isRecord(value) && typeof value.task === "string" &&
    Number.isSafeInteger(value.run);
}
