import { isListOf } from "../check/is_list_of.ts";
import { isRecord } from "../check/is_record.ts";
import { RatioHistogram } from "./ratio_histogram.ts";
import type { RunTimeRow } from "./run_time_row.ts";

const sumCount = 5;
/** Logarithms of times in ms are below this. */
const maxLog = 30;

/** Whether a stored value has the shape of a `RunTimeRow`. */
export function isRunTimeRow(value: unknown): value is RunTimeRow {
  return isRecord(value) && isListOf(value.kinds, isKind);
}

function isKind(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [kind, sums, firstBin, weights] = value;
  return typeof kind === "string" &&
    isListOf(sums, Number.isFinite) && areSums(sums as number[]) &&
    Number.isSafeInteger(firstBin) && firstBin >= 0 &&
    isListOf(weights, isWeight) &&
    firstBin + weights.length <= RatioHistogram.binCount;
}

function areSums(sums: readonly number[]): boolean {
  const [weight = 0, x = 0, y = 0] = sums;
  return sums.length === sumCount && weight >= 0 &&
    Math.max(Math.abs(x), Math.abs(y)) <= maxLog * weight;
}

function isWeight(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0;
}
