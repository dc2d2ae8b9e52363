import type { KeeperMessage } from "../../src/link/keeper_message.ts";
import type { PeerMessage } from "../../src/link/peer_message.ts";

/** Sees the messages of a keeper's connections to the sidecars. */
export interface LinkObserver {
  onSending(message: KeeperMessage): void;
  onSent(message: KeeperMessage): void;
  /** The keeper has handled a message. */
  onHandled(message: PeerMessage): void;
}
