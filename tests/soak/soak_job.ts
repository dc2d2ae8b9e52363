import type { JobId } from "../../src/core/jobs/job_id.ts";

/** A job that the soak hands in, and what its caller was told. */
export interface SoakJob {
  readonly id: JobId;
  readonly payload: string;
  readonly steps: readonly {
    readonly count: number;
    readonly after: readonly number[];
    readonly cpuMilli: number;
    readonly ms: number;
  }[];
  isAccepted: boolean;
  /** Every attempt to hand it in was answered with a refusal. */
  isRefused: boolean;
  isCancelled: boolean;
  hasRun: boolean;
  state: string;
}
