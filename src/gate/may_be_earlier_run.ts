import type { GateContext } from "./gate_context.ts";
import type { RunnerFailure } from "./runner_failure.ts";

/**
 * Whether an earlier process may have started a run whose start the runner has
 * rejected now, so that the run may be active or have ended.
 */
export function mayBeEarlierRun(
  { clock, lease }: GateContext,
  failure: RunnerFailure,
): boolean {
  return failure !== "old" && failure !== "other_life" &&
    lease.mayBeUnknown(clock.nowMs());
}
