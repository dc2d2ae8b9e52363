import type { PeerInfo } from "./peer_info.ts";

/** A peer with the time at which it was last heard. */
export interface PeerRow {
  readonly peer: PeerInfo;
  readonly heardAtMs: number;
}
