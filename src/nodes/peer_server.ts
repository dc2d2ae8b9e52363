import { createServer, type Server } from "node:net";
import { Channel } from "../link/channel.ts";
import { isKeeperMessage } from "../link/is_keeper_message.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";

type KeeperChannel = Channel<PeerMessage, KeeperMessage>;

/** Accepts keepers' connections; passes on each that begins with a hello. */
export class PeerServer {
  readonly #server: Server;
  readonly #channels = new Set<KeeperChannel>();

  constructor(
    readonly onKeeper: (
      channel: KeeperChannel,
      hello: Extract<KeeperMessage, { kind: "hello" }>,
    ) => void,
  ) {
    this.#server = createServer((socket) => {
      const channel: KeeperChannel = new Channel(socket, isKeeperMessage);
      this.#channels.add(channel);
      socket.once("close", () => this.#channels.delete(channel));
      channel.onMessage = (message) => {
        if (message.kind === "hello") this.onKeeper(channel, message);
        else channel.close("the first message was not a hello");
      };
    });
  }

  /** How many channels are open. */
  get openChannels(): number {
    return this.#channels.size;
  }

  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.#server.close();
    for (const channel of this.#channels) channel.close("leaving");
  }
}
