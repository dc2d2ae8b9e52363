import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { GateContext } from "./gate_context.ts";
import type { Run } from "./run.ts";
import type { UnansweredStarts } from "./unanswered_starts.ts";
import type { UnconfirmedStarts } from "./unconfirmed_starts.ts";

/** The owner of the runs that `startRun` starts. */
export interface StartOwner {
  readonly context: GateContext;
  readonly unanswered: UnansweredStarts;
  readonly unconfirmed: UnconfirmedStarts;
  /** Whether the run's start is still to be carried out or given up. */
  isStarting(run: Run): boolean;
  /** Records that the runner has begun the run. */
  started(run: Run): void;
  /** Gives up a start for a reason, or else since its lease has ended. */
  giveUpStart(run: Run, refusal: StartRefusal | undefined): void;
  /** Refuses a run that the runner has rejected, and would reject again. */
  refuseRejected(run: Run, reason: StartRefusal): void;
  /** Stops the run; the next poll then shows whether it is gone. */
  stopRun(run: Run): Promise<void>;
}
