import type { RunOutcome } from "./run_outcome.ts";
import type { TaskName } from "./task_name.ts";

/** The end of a run, as listed by its runner. */
export interface RunEnd {
  /** Numbers the run ends of one life of a runner, from 1. */
  readonly number: number;
  readonly task: TaskName;
  readonly run: number;
  readonly outcome: RunOutcome;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
}
