import type { TaskId } from "../../schema/task_id.ts";

/** What a worker says of one attempt that it ran or runs. */
export interface TaskReport {
  readonly task: TaskId;
  readonly attempt: number;
  readonly state:
    | "running"
    | "finished"
    | "failed"
    | "stopped"
    | "lapsed"
    | "refused";
  readonly checkpoint?: string;
  /** The part of its full speed at which it runs; 1 where absent. */
  readonly share?: number;
  readonly result?: string;
  readonly detail?: string;
  /** Measured use, older than the report by the worker's lag. */
  readonly usedCpuMilli?: number;
  readonly usedMemoryBytes?: number;
}
