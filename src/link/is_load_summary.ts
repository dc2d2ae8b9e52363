import { isListOf } from "../core/check/is_list_of.ts";
import { isRecord } from "../core/check/is_record.ts";

/** Whether the fields of a received message are those of a `LoadSummary`. */
export function isLoadSummary(value: Record<string, unknown>): boolean {
  return Number.isFinite(value.atMs) && isListOf(value.pools, isPool);
}

function isPool(value: unknown): boolean {
  return isRecord(value) && typeof value.pool === "string" &&
    Number.isFinite(value.capacityMilli) && Number.isFinite(value.freeMilli) &&
    isRecord(value.classes) && isClass(value.classes.reserved) &&
    isClass(value.classes.filler);
}

function isClass(value: unknown): boolean {
  return isRecord(value) && Number.isFinite(value.capacityMilli) &&
    Number.isFinite(value.freeMilli) &&
    Number.isFinite(value.runningMilliMs) && isListOf(value.places, isPlace);
}

function isPlace(value: unknown): boolean {
  return Array.isArray(value) && value.length === 3 &&
    value.every(Number.isFinite);
}
