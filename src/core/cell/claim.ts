import type { NodeId } from "../jobs/node_id.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";

/** Where a task's current run is, from its claim until its end is known. */
export interface Claim {
  readonly node: NodeId;
  readonly life: RunnerLife;
  phase: ClaimPhase;
  /** When the phase began, by the keeper's steady clock. */
  sinceMs: number;
  readonly ticket: string | undefined;
  /** How much of its work was done, in percent, and when that last grew. */
  progress: number;
  progressAtMs: number;
  /** The checkpoint that the run began from. */
  readonly from: string;
}

type ClaimPhase = "ordered" | "running" | "stopping";
