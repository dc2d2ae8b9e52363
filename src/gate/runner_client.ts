import type { TaskName } from "../core/jobs/task_name.ts";
import type { RunnerResult } from "./runner_result.ts";
import type { RunnerPollResult } from "./runner_poll_result.ts";

/**
 * The runner beside a sidecar. Calls never reject; each completes within its
 * own time limit. All carry the keeper's epoch, which fences out older keepers.
 */
export interface RunnerClient {
  /** Starts a run and extends the lease to `leaseEndClockMs`. */
  start(command: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
    payload: string;
    ticket: string | undefined;
    checkpoint: string;
    leaseEndClockMs: number;
  }): Promise<RunnerResult<undefined>>;
  stop(command: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
  }): Promise<RunnerResult<undefined>>;
  /** Limits a filler to a percentage of full speed. */
  pace(command: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
    percent: number;
  }): Promise<RunnerResult<undefined>>;
  /**
   * Polls: lists the runs, waiting up to `waitMs` for one to end. Extends the
   * lease if `leaseEndClockMs` is given. Drops ends numbered to `forgetUpTo`.
   */
  hold(request: {
    instance: string;
    epoch: number;
    forgetUpTo: number;
    leaseEndClockMs: number | undefined;
    waitMs: number;
  }): Promise<RunnerResult<RunnerPollResult>>;
}
