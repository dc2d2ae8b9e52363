import { isListOf } from "../core/check/is_list_of.ts";
import { isRecord } from "../core/check/is_record.ts";
import { isRunId } from "../core/check/is_run_id.ts";
import type { PeerMessage } from "./peer_message.ts";

/**
 * Whether a received value has the shape of a `PeerMessage`. A kind that is not
 * known here passes: it may be one of a later version, and is ignored.
 */
export function isPeerMessage(value: unknown): value is PeerMessage {
  if (!isRecord(value)) return false;
  switch (value.kind) {
    case "report":
      return Number.isSafeInteger(value.number) && isReport(value.report);
    case "superseded":
      return Number.isSafeInteger(value.epoch);
    case "process":
      return isText(value.incarnation) && Number.isFinite(value.ageMs) &&
        Number(value.ageMs) >= 0;
    case "started":
      return isRunId(value);
    case "refused":
      return isRefusal(value);
    default:
      return typeof value.kind === "string";
  }
}

function isReport(value: unknown): boolean {
  return isRecord(value) && typeof value.life === "string" &&
    typeof value.pool === "string" && isListOf(value.labels, isText) &&
    isResources(value.capacity) &&
    (value.coldForMs === undefined || Number.isFinite(value.coldForMs)) &&
    isListOf(value.running, isStatus) &&
    isListOf(value.ends, isEnd) && isListOf(value.unsettled, isText) &&
    (value.startingUp === undefined || isListOf(value.startingUp, isText)) &&
    (value.hasMoreEnds === undefined ||
      typeof value.hasMoreEnds === "boolean") &&
    (value.crashedStarts === undefined ||
      isListOf(value.crashedStarts, isText)) &&
    (value.isLifeBeforeUnknown === undefined ||
      typeof value.isLifeBeforeUnknown === "boolean") &&
    (value.isPredecessorSettled === undefined ||
      typeof value.isPredecessorSettled === "boolean") &&
    (value.refusals === undefined || isListOf(value.refusals, isRefusal));
}

function isResources(value: unknown): boolean {
  return isRecord(value) && Number.isFinite(value.cpuMilli) &&
    Number.isFinite(value.memoryBytes) && Number.isFinite(value.accelerators);
}

function isStatus(value: unknown): boolean {
  return isRunId(value) && isText(value.checkpoint) &&
    Number.isFinite(value.percent) && Number.isFinite(value.figure);
}

function isEnd(value: unknown): boolean {
  return isRunId(value) && Number.isSafeInteger(value.number) &&
    isText(value.outcome) && isText(value.checkpoint);
}

function isRefusal(value: unknown): boolean {
  return isRunId(value) && isText(value.life) && isText(value.reason);
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}
