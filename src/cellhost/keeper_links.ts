import type { NodeId } from "../core/jobs/node_id.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { KeeperLink } from "./keeper_link.ts";
import type { PeerAddressRow } from "./peer_address_row.ts";

/**
 * A keeper's connections to its peers. The messages of one connection arrive in
 * order, and none of an earlier connection arrives after one of a later.
 */
export interface KeeperLinks {
  /** Called when a connection to an entry has opened. */
  onEntryConnected: (link: KeeperLink) => void;
  onMessage: (link: KeeperLink, message: PeerMessage) => void;
  onSidecarLost: (node: NodeId) => void;
  /** Connects to a peer, or to the new address of a known one. */
  set(node: NodeId, row: PeerAddressRow): void;
  /** Sends to one peer, if it is connected. */
  send(node: NodeId, message: KeeperMessage): void;
  /** Sends to all entries. */
  sendToEntries(message: KeeperMessage): void;
  /** Whether an entry of at least the given strength is connected. */
  hasEntry(strength: number): boolean;
  close(): void;
}
