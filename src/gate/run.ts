import type { StartCommand } from "../core/cell/start_command.ts";
import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** A run that this sidecar has started, or found on its runner. */
export interface Run {
  readonly task: TaskName;
  readonly run: number;
  /** Undefined for a found run, until the keeper sends it. */
  startCommand: StartCommand | undefined;
  phase: "starting" | "running" | "stopping";
  /** Whether the runner has begun it, or ended while it received the start. */
  hasBegun: boolean;
  /** Since when it is known to be active, on the local monotonic clock. */
  activeSinceMs: number | undefined;
  /** Whether a later poll has found it active for long enough. */
  hasStartedUp: boolean;
  /** A start got no answer, so the runner may still execute it. */
  isStartUncertain: boolean;
  /** The run must be stopped once the outcome of its start is known. */
  isStopRequested: boolean;
  /** Why it is refused; undefined unless it is, or if it was stopped first. */
  refusal: StartRefusal | undefined;
  /** When the runner acknowledged the stop, on the local monotonic clock. */
  stopAcknowledgedAtMs: number | undefined;
  /** The pace that the runner last acknowledged, in percent. */
  pace: number;
  /** A call that sets the pace is in progress. */
  isSettingPace: boolean;
}
