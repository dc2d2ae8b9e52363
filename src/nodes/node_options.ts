import type { KeeperBounds } from "../cellhost/keeper_bounds.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { StoreLimits } from "../core/store/store_limits.ts";
import type { HardLoad } from "./hard_load.ts";

/** The options that entries and sidecars start with. */
export interface NodeOptions {
  readonly node: NodeId;
  /** Distinguishes this process from its earlier incarnations. */
  readonly incarnation: string;
  readonly host: string;
  /** The data centre of the machine, if its settings name one. */
  readonly zone?: string | undefined;
  /** The port for its keeper's connection. */
  readonly peerPort: number;
  readonly bounds: KeeperBounds;
  readonly hardLoad: HardLoad;
  /** The share of a keeper's resource needs that its machine meets, 0 to 1. */
  readonly strength: number;
  /** In how many streams jobs are stored; more than one for failover. */
  readonly submissionStreams: number;
  readonly storeLimits: StoreLimits;
}
