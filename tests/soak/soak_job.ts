import type { JobId } from "../../src/core/jobs/job_id.ts";

/** A job that the soak submits, and what its caller has observed. */
export interface SoakJob {
  readonly id: JobId;
  readonly payload: string;
  readonly steps: readonly {
    readonly count: number;
    readonly after: readonly number[];
    readonly cpuMilli: number;
    readonly ms: number;
    /** Its tasks run until the job is cancelled, and fail after `ms`. */
    readonly lasts?: boolean;
    /** At most this many of its tasks run on one runner, if not 0. */
    readonly mostPerRunner?: number;
  }[];
  /** Its first task crashes each runner that starts it. */
  readonly crashesRunners: boolean;
  isAccepted: boolean;
  /** Every attempt to submit it was refused. */
  isRefused: boolean;
  isCancelled: boolean;
  hasRun: boolean;
  /** The state that its caller received last. */
  state: string;
}
