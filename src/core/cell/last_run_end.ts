import type { NodeId } from "../jobs/node_id.ts";
import type { RunOutcome } from "../jobs/run_outcome.ts";

/** How a run of a task ended that may have begun. */
export interface LastRunEnd {
  readonly run: number;
  readonly node: NodeId;
  readonly outcome: RunOutcome;
  /** When the keeper learned of it, by its monotonic clock. */
  readonly atMs: number;
}
