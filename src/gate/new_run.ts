import type { RunId } from "../core/jobs/run_id.ts";
import type { Run } from "./run.ts";

/** The first pace of a found run; differs from all others, so one is set. */
const unknownPace = -1;

/** Returns a run of which only the id is known. */
export function newRun({ task, run }: RunId): Run {
  return {
    task,
    run,
    startCommand: undefined,
    phase: "running",
    hasBegun: false,
    activeSinceMs: undefined,
    hasStartedUp: false,
    isStartUncertain: false,
    isStopRequested: false,
    refusal: undefined,
    stopAcknowledgedAtMs: undefined,
    pace: unknownPace,
    isSettingPace: false,
  };
}
