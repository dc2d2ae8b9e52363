import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { RunnerFailure } from "./runner_failure.ts";

/** Returns the reason of the refusal of a start that failed at the runner. */
export function refusalFor(failure: RunnerFailure): StartRefusal {
  switch (failure) {
    case "old":
    case "late":
    case "no_room":
    case "ticket":
    case "other_life":
    case "rejected":
      return failure;
    default:
      return "unhealthy";
  }
}
