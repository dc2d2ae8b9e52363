import type { TaskName } from "./task_name.ts";

/** An active run, as listed by its runner. */
export interface RunStatus {
  readonly task: TaskName;
  readonly run: number;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** The progress in percent; 100 for a service that is running. */
  readonly percent: number;
  /** A service's latency in ms; the CPU used in millicores of other tasks. */
  readonly figure: number;
}
