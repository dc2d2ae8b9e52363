import { createServer, type Server } from "node:net";
import type { LimitReason } from "../http/limit_reason.ts";
import { Channel } from "../link/channel.ts";
import { isKeeperMessage } from "../link/is_keeper_message.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";

type KeeperChannel = Channel<PeerMessage, KeeperMessage>;

/** Entries may be keeper one after the other; only one is at a time. */
const maxChannels = 64;
/** A hello names an epoch and a keeper. */
const maxHelloBytes = 4_096;
/** Unfinished lines of all channels; one of the greatest messages fits. */
const maxPartialBytes = 33_554_432;
/** A keeper sends its hello as soon as it is connected. */
const helloTimeoutMs = 1_500;

/** Accepts keepers' connections; passes on each that begins with a hello. */
export class PeerServer {
  onLimit: (reason: LimitReason) => void = () => {};
  readonly #server: Server;
  readonly #channels = new Set<KeeperChannel>();
  /** Channels without a hello, oldest first. */
  readonly #strangers = new Set<KeeperChannel>();

  constructor(
    readonly onKeeper: (
      channel: KeeperChannel,
      hello: Extract<KeeperMessage, { kind: "hello" }>,
    ) => void,
  ) {
    this.#server = createServer((socket) => {
      if (this.#channels.size >= maxChannels && !this.#evict()) {
        this.onLimit("channels_full");
        socket.destroy();
        return;
      }
      const channel: KeeperChannel = new Channel(socket, isKeeperMessage);
      this.#channels.add(channel);
      this.#strangers.add(channel);
      const timer = setTimeout(() => channel.close("no hello"), helloTimeoutMs);
      socket.once("close", () => {
        clearTimeout(timer);
        this.#channels.delete(channel);
        this.#strangers.delete(channel);
      });
      const { maxLineBytes } = channel;
      channel.maxLineBytes = maxHelloBytes;
      channel.onPartialLine = () => this.#boundPartialLines();
      channel.onMessage = (message) => {
        clearTimeout(timer);
        this.#strangers.delete(channel);
        channel.maxLineBytes = maxLineBytes;
        if (message.kind === "hello") this.onKeeper(channel, message);
        else channel.close("the first message was not a hello");
      };
    });
  }

  /** How many channels of keepers are open. */
  get openChannels(): number {
    return this.#channels.size - this.#strangers.size;
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Closes the channel with the longest unfinished line, if need be. */
  #boundPartialLines(): void {
    const channels = [...this.#channels];
    const bytes = channels.map(({ partialBytes }) => partialBytes);
    const totalBytes = bytes.reduce((sum, each) => sum + each, 0);
    if (totalBytes <= maxPartialBytes) return;
    this.onLimit("line_evicted");
    channels[bytes.indexOf(Math.max(...bytes))]?.close("too much unfinished");
  }

  /** Closes the oldest channel without a hello, if there is one. */
  #evict(): boolean {
    const [oldest] = this.#strangers;
    if (oldest === undefined) return false;
    this.onLimit("channel_evicted");
    oldest.close("too many channels");
    oldest.socket.destroy();
    this.#channels.delete(oldest);
    this.#strangers.delete(oldest);
    return true;
  }

  close(): void {
    this.#server.close();
    for (const channel of this.#channels) channel.close("leaving");
  }
}
