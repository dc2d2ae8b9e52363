import type { PeerInfo } from "../core/members/peer_info.ts";

/** The list of peers that another process last gave. */
export interface PeerList {
  /** The life of the process that gave it. */
  readonly incarnation: string;
  readonly version: bigint;
  readonly peers: readonly PeerInfo[];
}
