import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";

/** The worker that holds a task's current run, until the run's end is known. */
export interface Claim {
  readonly node: NodeId;
  readonly life: RunnerLife;
  phase: ClaimPhase;
  /**
   * Whether its start may have left for the worker. Before, it waits for the
   * claim to be stored, and the claim may be dropped without a trace.
   */
  isOrdered: boolean;
  /**
   * When the phase began or its command was last resent, by the keeper's
   * monotonic clock.
   */
  phaseSinceMs: number;
  /** Whether the worker has confirmed that the run has begun. */
  hasBegun: boolean;
  /**
   * Whether the life that it names has listed the run, in a report that was
   * renewed. Until then, another life of the runner may have taken its start, and
   * has a lease that began with that.
   */
  isListed: boolean;
  /** Whether the run may still crash its worker by starting. */
  isStartingUp: boolean;
  /** The advisor's ticket for the run, in queues that have an advisor. */
  readonly ticket: string | undefined;
  /** The progress last reported, in percent, and when it last changed. */
  progressPercent: number;
  progressAtMs: number;
  /** The checkpoint that the run started from; empty for none. */
  readonly startCheckpoint: string;
}

type ClaimPhase = "starting" | "running" | "stopping";
