import type { NodeId } from "../core/jobs/node_id.ts";

/** The winner of an election. The row's offset plus one is the epoch. */
export interface ElectionRow {
  readonly node: NodeId;
  /** Distinguishes a process from its earlier incarnations. */
  readonly incarnation: string;
}
