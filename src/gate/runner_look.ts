import type { RunEnd } from "../core/jobs/run_end.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";

/** What a runner lists of its runs. */
export interface RunnerLook {
  /** The moment of the runner's start, which tells its lives apart. */
  readonly bornMs: number;
  readonly clockMs: number;
  readonly running: readonly RunStatus[];
  readonly ends: readonly RunEnd[];
}
