import type { PeerInfo } from "../core/members/peer_info.ts";

/** The peer list that another process last returned. */
export interface PeerList {
  /** The incarnation of the process that returned the list. */
  readonly incarnation: string;
  /** The version of its peer table, sent back as `knownVersion`. */
  readonly version: bigint;
  readonly peers: readonly PeerInfo[];
}
