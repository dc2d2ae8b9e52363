import { isListOf } from "../core/check/is_list_of.ts";
import { isRecord } from "../core/check/is_record.ts";
import { isRunId } from "../core/check/is_run_id.ts";
import { isLoadSummary } from "./is_load_summary.ts";
import type { KeeperMessage } from "./keeper_message.ts";

/**
 * Whether a received value has the shape of a `KeeperMessage`. A kind that is
 * not known here passes: it may be one of a later version, and is ignored.
 */
export function isKeeperMessage(value: unknown): value is KeeperMessage {
  if (!isRecord(value)) return false;
  switch (value.kind) {
    case "hello":
      return Number.isSafeInteger(value.epoch) &&
        typeof value.keeper === "string";
    case "renew":
      return Number.isSafeInteger(value.report) &&
        isListOf(value.pressures, isPressure) &&
        (value.operatorAgeMs === undefined ||
          Number.isFinite(value.operatorAgeMs));
    case "evacuated":
      return typeof value.isEvacuated === "boolean";
    case "orders":
      return isListOf(value.starts, isStart) && isListOf(value.stops, isStop);
    case "known":
      return isListOf(value.runs, isStart);
    case "noted":
      return isListOf(value.refusals, isRunId);
    case "forget":
      return typeof value.life === "string" && Number.isSafeInteger(value.end);
    case "states":
      return isListOf(value.jobs, isState);
    case "load":
      return isLoadSummary(value);
    default:
      return typeof value.kind === "string";
  }
}

function isPressure(value: unknown): boolean {
  return isRecord(value) && typeof value.service === "string" &&
    Number.isFinite(value.floor) && isListOf(value.fillers, Array.isArray);
}

function isStart(value: unknown): boolean {
  return isStop(value) && isRecord(value.resources) &&
    typeof value.payload === "string" && typeof value.checkpoint === "string";
}

function isStop(value: unknown): value is Record<string, unknown> {
  return isRunId(value) && typeof value.life === "string";
}

function isState(value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === "string" &&
    typeof value[1] === "string";
}
