import type { Resources } from "../../src/schema/resources.ts";
import type { TaskReport } from "../../src/core/worker/task_report.ts";
import type { WorkInput } from "./work_input.ts";

/** One attempt that a worker runs or ran. */
export interface RunningTask {
  readonly attempt: number;
  readonly reserved: Resources;
  readonly template: string;
  readonly input: WorkInput;
  readonly runMs: number;
  progressMs: number;
  progressAtMs: number;
  readonly startedAtMs: number;
  share: number;
  leaseUntilMs: number;
  state: TaskReport["state"];
}
