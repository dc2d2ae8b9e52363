import type { JobId } from "../jobs/job_id.ts";
import type { JobState } from "../jobs/job_state.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { Job } from "./job.ts";
import type { StartOrder } from "./start_order.ts";

/** What a cell wants done. All but `stop` and `ask` wait until the saves before them are stored. */
export type CellEffect =
  /** The job's row has changed. */
  | { readonly kind: "save"; readonly job: Job }
  | {
    readonly kind: "start";
    readonly node: NodeId;
    readonly order: StartOrder;
  }
  | {
    readonly kind: "stop";
    readonly node: NodeId;
    readonly life: RunnerLife;
    readonly task: TaskName;
    readonly run: number;
    readonly reason: string;
  }
  /** The worker may forget its ends up to the number. */
  | {
    readonly kind: "forget";
    readonly node: NodeId;
    readonly life: RunnerLife;
    readonly end: number;
  }
  /** Ask the advisor which lives may run the step. */
  | {
    readonly kind: "ask";
    readonly step: string;
    readonly lives: readonly RunnerLife[];
  }
  | { readonly kind: "show"; readonly job: JobId; readonly state: JobState };
