import type { RunOutcome } from "./run_outcome.ts";
import type { TaskName } from "./task_name.ts";

/** The end of a run, as its runner lists it. */
export interface RunEnd {
  /** Numbers the ends of one life of a runner, from 1. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly outcome: RunOutcome;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
}
