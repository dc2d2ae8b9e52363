import type { Resources } from "../../src/schema/resources.ts";
import type { TaskReport } from "../../src/core/worker/task_report.ts";
import type { TaskBehaviour } from "./task_behaviour.ts";

/** One attempt that a worker runs, ran or refused. */
export interface TaskAttempt {
  readonly attempt: number;
  readonly reserved: Resources;
  readonly template: string;
  readonly input: TaskBehaviour;
  /** Run time at full speed; progress of a checkpoint counts towards it. */
  readonly runMs: number;
  /** The part of `runMs` that was done at `progressAtMs`. */
  progressMs: number;
  progressAtMs: number;
  readonly startedAtMs: number;
  /** The part of its full speed at which it runs. */
  share: number;
  leaseUntilMs: number;
  state: TaskReport["state"];
}
