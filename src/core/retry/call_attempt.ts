import type { PeerInfo } from "../members/peer_info.ts";

/** One attempt at a call: where to, and how long it may take. */
export interface CallAttempt {
  readonly number: number;
  readonly peer: PeerInfo;
  readonly timeoutMs: number;
}
