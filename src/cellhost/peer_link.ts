import { connect, type Socket } from "node:net";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Logger } from "../adapters/logger.ts";
import { Channel } from "../link/channel.ts";
import { isPeerMessage } from "../link/is_peer_message.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { KeeperLink } from "./keeper_link.ts";
import type { PeerAddressRow } from "./peer_address_row.ts";

const connectTimeoutMs = 500;
const firstRetryMs = 50;
const maxRetryMs = 800;

/** A keeper's connection to one peer, reconnected whenever it breaks. */
export class PeerLink implements KeeperLink {
  onOpen: () => void = () => {};
  onMessage: (message: PeerMessage) => void = () => {};
  onLost: () => void = () => {};
  #channel: Channel<KeeperMessage, PeerMessage> | undefined;
  #retryMs = firstRetryMs;
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(
    readonly node: NodeId,
    public row: PeerAddressRow,
    readonly hello: KeeperMessage,
    readonly log: Logger,
  ) {}

  get isOpen(): boolean {
    return this.#channel?.isOpen ?? false;
  }

  /** Connects, and retries with back-off until closed. */
  open(): void {
    if (this.#isClosed) return;
    const { host, port } = this.row;
    let socket: Socket;
    try {
      socket = connect({ host, port });
    } catch (cause) {
      const reason = (cause as Error).message;
      this.log.warn("member_unreachable", { node: this.node, reason });
      this.#scheduleRetry();
      return;
    }
    const timer = setTimeout(() => socket.destroy(), connectTimeoutMs);
    socket.once("connect", () => {
      clearTimeout(timer);
      this.#handleConnected(new Channel(socket, isPeerMessage));
    });
    socket.once("error", () => socket.destroy());
    socket.once("close", () => {
      clearTimeout(timer);
      if (this.#channel === undefined) this.#scheduleRetry();
    });
  }

  send(message: KeeperMessage): void {
    this.#channel?.send(message);
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#channel?.close("the keeper's session ended");
  }

  #handleConnected(channel: Channel<KeeperMessage, PeerMessage>): void {
    if (this.#isClosed) {
      channel.close("the keeper's session ended");
      return;
    }
    this.#channel = channel;
    channel.onMessage = (message) => {
      this.#retryMs = firstRetryMs;
      this.onMessage(message);
    };
    channel.onClose = (reason) => {
      this.#channel = undefined;
      if (this.#isClosed) return;
      this.log.info("member_lost", { node: this.node, reason });
      this.onLost();
      this.#scheduleRetry();
    };
    channel.send(this.hello);
    this.onOpen();
  }

  #scheduleRetry(): void {
    if (this.#isClosed) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.open(), this.#retryMs);
    this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
  }
}
