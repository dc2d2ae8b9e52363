import { isListOf } from "../check/is_list_of.ts";
import { isRecord } from "../check/is_record.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

const knownStates: ReadonlySet<unknown> = new Set([
  "q",
  "r",
  "completed",
  "failed",
  "cancelled",
]);

/**
 * Whether a value has the shape of a progress row. One of a state that only a
 * later build knows may have any other fields.
 */
export function isProgressRow(value: unknown): value is JobProgressRow {
  if (!isRecord(value) || typeof value.s !== "string") return false;
  if (!knownStates.has(value.s)) return true;
  return isCount(value.n) && isListOf(value.w, isWorker) &&
    isListOf(value.o, isOccurrence);
}

function isWorker(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "string";
}

function isOccurrence(value: unknown): boolean {
  return Array.isArray(value) && isCount(value[0]) &&
    isListOf(value[1], isGroup);
}

function isGroup(value: unknown): boolean {
  return value === 0 || value === 1 || isListOf(value, isTask);
}

function isTask(value: unknown): boolean {
  if (value === 0 || value === 1) return true;
  if (!Array.isArray(value)) return false;
  const [run, failures, checkpoint, worker, from, ...rest] = value;
  const [crashes, listed, shownBy] = rest;
  return isCount(run) && isCount(failures) && typeof checkpoint === "string" &&
    (worker === undefined || worker === null || isCount(worker)) &&
    (from === undefined || typeof from === "string") &&
    (crashes === undefined || isCount(crashes)) &&
    (listed === undefined || isCount(listed)) &&
    (shownBy === undefined || typeof shownBy === "string");
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
