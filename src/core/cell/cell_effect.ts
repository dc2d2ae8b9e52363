import type { RunTimeRow } from "../estimate/run_time_row.ts";
import type { PressureRow } from "../interfere/pressure_row.ts";
import type { JobId } from "../jobs/job_id.ts";
import type { JobState } from "../jobs/job_state.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { Job } from "./job.ts";
import type { StartCommand } from "./start_command.ts";

/**
 * An action that a cell has decided on. `start`, `forget` and `show` are
 * carried out only when the saves before them are in the store.
 */
export type CellEffect =
  /** Save the job's progress row. */
  | { readonly kind: "save"; readonly job: Job }
  /** Save what the cell has learned of interference. */
  | { readonly kind: "learned"; readonly row: PressureRow }
  /** Save what the cell has learned of run times. */
  | { readonly kind: "runTimes"; readonly row: RunTimeRow }
  | {
    readonly kind: "start";
    readonly node: NodeId;
    readonly command: StartCommand;
  }
  | {
    readonly kind: "stop";
    readonly node: NodeId;
    readonly life: RunnerLife;
    readonly task: TaskName;
    readonly run: number;
    readonly reason: string;
  }
  /** Tell the worker that it may drop its run ends up to this number. */
  | {
    readonly kind: "forget";
    readonly node: NodeId;
    readonly life: RunnerLife;
    readonly end: number;
  }
  /** Query the advisor which runner lives may run the step. */
  | {
    readonly kind: "ask";
    readonly step: string;
    readonly lives: readonly RunnerLife[];
    readonly timeoutMs: number;
  }
  /** Log and count what was decided, with what decided it. */
  | {
    readonly kind: "note";
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number>>;
  }
  /** Publish the job's state to the entries. */
  | { readonly kind: "show"; readonly job: JobId; readonly state: JobState };
