import type { PeerInfo } from "../members/peer_info.ts";

/** One attempt at a call: its target and its timeout. */
export interface CallAttempt {
  readonly number: number;
  readonly peer: PeerInfo;
  readonly timeoutMs: number;
}
