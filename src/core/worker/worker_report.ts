import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { TaskReport } from "./task_report.ts";

/** A worker's answer: its own monotonic clock and all attempts it knows. */
export interface WorkerReport {
  readonly worker: WorkerId;
  /** Differs after each start of the worker. */
  readonly bootId: string;
  readonly clockMs: number;
  readonly capacity: Resources;
  readonly tasks: readonly TaskReport[];
  /** Stands for the attempts and their states. */
  readonly digest: string;
}
