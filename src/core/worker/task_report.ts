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
  readonly result?: string;
  readonly detail?: string;
  /** Measured use, older than the report by the worker's lag. */
  readonly usedCpuMilli?: number;
  readonly usedMemoryBytes?: number;
}
