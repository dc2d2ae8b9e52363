import type { NodeId } from "../core/jobs/node_id.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";

/** A keeper's connection to one peer. */
export interface KeeperLink {
  readonly node: NodeId;
  /** Sends a message, if the peer is connected. */
  send(message: KeeperMessage): void;
}
