import type { KeeperBounds } from "../cellhost/keeper_bounds.ts";
import type { NodeId } from "../core/jobs/node_id.ts";

/** What each of our processes must know to start. */
export interface NodeOptions {
  readonly node: NodeId;
  /** Tells the lives of this process apart. */
  readonly incarnation: string;
  readonly host: string;
  /** Where it takes its keeper's connection. */
  readonly memberPort: number;
  readonly bounds: KeeperBounds;
  /** How far the machine's share suits a keeper, from 0 to 1. */
  readonly strength: number;
}
