import type { TaskId } from "../../schema/task_id.ts";

/** What a worker reports of one attempt that it runs or has run. */
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
  /** Throttled share of its full speed; 1 if absent. */
  readonly share?: number;
  readonly result?: string;
  readonly detail?: string;
  /** Measured usage; it lags behind the report. */
  readonly usedCpuMilli?: number;
  readonly usedMemoryBytes?: number;
}
