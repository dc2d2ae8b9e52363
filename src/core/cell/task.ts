import type { NodeId } from "../jobs/node_id.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { Claim } from "./claim.ts";
import type { LastRunEnd } from "./last_run_end.ts";
import type { TaskGroup } from "./task_group.ts";

/** One task of a job, with its progress. */
export interface Task {
  readonly name: TaskName;
  readonly group: TaskGroup;
  readonly index: number;
  /** The number of the newest run; 0 before the first. */
  run: number;
  failures: number;
  /**
   * How many runs in a row have crashed their worker at their start, or were
   * starting beside one that did.
   */
  crashes: number;
  /** What showed the last of them; undefined if there is none. */
  crashShownBy?: string | undefined;
  /** The newest checkpoint; empty for none. */
  checkpoint: string;
  isDone: boolean;
  claim: Claim | undefined;
  /** How its last run ended, as far as this keeper has seen it. */
  lastRunEnd: LastRunEnd | undefined;
  /**
   * Since when a task of a service has found no worker, by the keeper's
   * monotonic clock.
   */
  idleSinceMs: number | undefined;
  /** The worker where the last run failed, lapsed or got stuck. */
  avoidedWorker: NodeId | undefined;
}
