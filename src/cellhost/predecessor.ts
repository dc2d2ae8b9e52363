import type { NodeId } from "../core/jobs/node_id.ts";

/** The keeper of the term before, as far as its successor knows it. */
export interface Predecessor {
  /** 0 if this is the first term. */
  readonly epoch: number;
  readonly node: NodeId | undefined;
  readonly incarnation: string | undefined;
  /**
   * The local monotonic time by which it had renewed its last lease; undefined
   * if that is not known.
   */
  readonly endedAtMs: number | undefined;
}
