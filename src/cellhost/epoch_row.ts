import type { NodeId } from "../core/jobs/node_id.ts";

/** Who won an election. The row's offset makes the epoch. */
export interface EpochRow {
  readonly node: NodeId;
  /** Tells the lives of a process apart. */
  readonly incarnation: string;
}
