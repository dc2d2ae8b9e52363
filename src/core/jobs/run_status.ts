import type { TaskName } from "./task_name.ts";

/** A run as its runner lists it. */
export interface RunStatus {
  readonly task: TaskName;
  readonly run: number;
  readonly checkpoint: string;
  /** The share of its speed that it is let work at; 100 for all. */
  readonly percent: number;
  /** A service's latency in ms, else the processors in use in thousandths. */
  readonly figure: number;
}
