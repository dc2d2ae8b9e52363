import type { PeerMessage } from "../link/peer_message.ts";

type Send = (message: PeerMessage) => void;

/** The newest connection of a keeper. */
export class KeeperAttachment {
  #attached: Send | undefined;
  /** The same connection, once it gets reports. */
  #send: Send | undefined;

  /** Whether reports go to a keeper. */
  get isReporting(): boolean {
    return this.#send !== undefined;
  }

  /** Replaces the connection; nothing is sent to the new one yet. */
  attach(send: Send): void {
    this.#attached = send;
    this.#send = undefined;
  }

  /** Whether this is the newest connection. */
  isAttached(send: Send): boolean {
    return this.#attached === send;
  }

  /** Drops a closed connection, unless a newer one has replaced it. */
  detach(send: Send): void {
    if (send !== this.#attached) return;
    this.#attached = undefined;
    this.#send = undefined;
  }

  /** Sends to the connection from now on, if it is still the newest one. */
  begin(send: Send): boolean {
    if (this.#attached !== send) return false;
    this.#send = send;
    return true;
  }

  send(message: PeerMessage): void {
    this.#send?.(message);
  }
}
