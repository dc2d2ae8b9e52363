import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";

/** Tasks to evict from one worker to make room. */
export interface Victims {
  readonly worker: WorkerRow;
  readonly tasks: readonly TaskRow[];
  readonly cost: number;
}
