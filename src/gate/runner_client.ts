import type { TaskName } from "../core/jobs/task_name.ts";
import type { RunnerAnswer } from "./runner_answer.ts";
import type { RunnerLook } from "./runner_look.ts";

/** The runner beside a sidecar. Calls never throw; each ends within its time. */
export interface RunnerClient {
  start(order: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
    payload: string;
    ticket: string | undefined;
    checkpoint: string;
    untilClockMs: number;
  }): Promise<RunnerAnswer<undefined>>;
  stop(order: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
  }): Promise<RunnerAnswer<undefined>>;
  pace(order: {
    instance: string;
    epoch: number;
    task: TaskName;
    run: number;
    percent: number;
  }): Promise<RunnerAnswer<undefined>>;
  /** Renews the lease where `untilClockMs` is given, and lists the runs. */
  hold(order: {
    instance: string;
    epoch: number;
    forgetUpTo: number;
    untilClockMs: number | undefined;
    waitMs: number;
  }): Promise<RunnerAnswer<RunnerLook>>;
}
