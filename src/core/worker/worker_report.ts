import type { Resources } from "../../schema/resources.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { TaskReport } from "./task_report.ts";

/** A worker's full report, with all attempts that it has not forgotten. */
export interface WorkerReport {
  readonly worker: WorkerId;
  /** A new id at each start of the worker. */
  readonly bootId: string;
  /** The worker's monotonic clock. */
  readonly clockMs: number;
  readonly capacity: Resources;
  readonly tasks: readonly TaskReport[];
  /** Digest of the attempts; equal if none of them has changed. */
  readonly digest: string;
}
