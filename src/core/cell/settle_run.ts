import type { RunStatus } from "../jobs/run_status.ts";
import type { Task } from "./task.ts";

/** A run that was active for this long did not crash its worker by starting. */
const startupMs = 300;

/** Ends the startup of a listed run that has been active for long enough. */
export function settleRun(
  { claim, group }: Task,
  { percent }: RunStatus,
  nowMs: number,
): void {
  if (claim?.isStartingUp !== true || claim.phase !== "running") return;
  if (nowMs - claim.phaseSinceMs < startupMs) return;
  // The members of a gang do not work before all of them are present.
  if (group.definition.isGang && percent === 0) return;
  claim.isStartingUp = false;
}
