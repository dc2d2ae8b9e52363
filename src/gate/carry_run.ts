import type { Run } from "./run.ts";

/** A run whose start may yet be executed in the runner's next life. */
export function carryRun(run: Run): Run {
  return {
    ...run,
    hasBegun: false,
    activeSinceMs: undefined,
    hasStartedUp: false,
    stopAcknowledgedAtMs: undefined,
  };
}
