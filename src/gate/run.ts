import type { StartOrder } from "../core/cell/start_order.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** A run that this sidecar has ordered, or found on its runner. */
export interface Run {
  readonly task: TaskName;
  readonly run: number;
  /** What is known of it; nothing of a run that was found. */
  order: StartOrder | undefined;
  phase: "starting" | "running" | "stopping";
  /** A start of it got no answer, so it may be carried out late. */
  isUncertain: boolean;
  /** It is to be stopped as soon as its start is settled. */
  isUnwanted: boolean;
  /** When its stop was answered, by our steady clock. */
  stoppedAtMs: number | undefined;
  /** The pace that its runner was last told. */
  pace: number;
  isPacing: boolean;
}
