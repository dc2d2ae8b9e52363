import type { TaskName } from "./task_name.ts";

/** A run as its runner lists it. */
export interface RunStatus {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** How much of its work is done; 100 for a service at work. */
  readonly percent: number;
  /** A service's latency in ms, else the processors in use in thousandths. */
  readonly figure: number;
}
