import type { RunEnd } from "../core/jobs/run_end.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";

/** The result of a poll: the runs of a runner and those that have ended. */
export interface RunnerPollResult {
  /** The runner's start time, which distinguishes its lives. */
  readonly bornMs: number;
  /** The runner's monotonic clock. */
  readonly clockMs: number;
  readonly running: readonly RunStatus[];
  readonly ends: readonly RunEnd[];
  /** Whether `ends` has all that are not forgotten, not only the first ones. */
  readonly hasAllEnds: boolean;
}
