import type { PeerInfo } from "./peer_info.ts";

/** A peer, with the local time at which it last announced itself. */
export interface PeerRow {
  readonly peer: PeerInfo;
  readonly heardAtMs: number;
}
