import type { KeeperLink } from "../../src/cellhost/keeper_link.ts";
import type { KeeperLinks } from "../../src/cellhost/keeper_links.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import type { KeeperMessage } from "../../src/link/keeper_message.ts";
import type { PeerMessage } from "../../src/link/peer_message.ts";
import type { Connection } from "./connection.ts";
import type { LinkObserver } from "./link_observer.ts";
import type { ProcessClock } from "./process_clock.ts";

const retryMs = 20;

/** Connects to a sidecar, if it can be reached; the caller is end 0. */
type Connect = (
  node: NodeId,
  hello: Extract<KeeperMessage, { kind: "hello" }>,
) => Connection | undefined;

/** A keeper's connections to the sidecars of a history. */
export class HistoryLinks implements KeeperLinks {
  onEntryConnected: (link: KeeperLink) => void = () => {};
  onMessage: (link: KeeperLink, message: PeerMessage) => void = () => {};
  onSidecarLost: (node: NodeId) => void = () => {};
  readonly #connections = new Map<NodeId, Connection>();
  readonly #nodes = new Set<NodeId>();
  #isClosed = false;

  constructor(
    readonly hello: Extract<KeeperMessage, { kind: "hello" }>,
    readonly clock: ProcessClock,
    readonly connect: Connect,
    readonly observer: LinkObserver,
  ) {}

  set(node: NodeId): void {
    if (this.#nodes.has(node)) return;
    this.#nodes.add(node);
    void this.#connectUntilClosed(node);
  }

  send(node: NodeId, message: KeeperMessage): void {
    this.observer.onSending(message);
    this.#connections.get(node)?.send(0, message);
    this.observer.onSent(message);
  }

  sendToEntries(): void {}

  hasEntry(): boolean {
    return false;
  }

  close(): void {
    this.#isClosed = true;
    for (const connection of this.#connections.values()) {
      connection.close(0, "the keeper's session ended");
    }
  }

  async #connectUntilClosed(node: NodeId): Promise<void> {
    while (!this.#isClosed) {
      const connection = this.connect(node, this.hello);
      if (connection !== undefined) await this.#use(node, connection);
      await this.clock.sleep(retryMs);
    }
  }

  /** Passes on what a connection brings until it closes. */
  async #use(node: NodeId, connection: Connection): Promise<void> {
    const link = {
      node,
      send: (message: KeeperMessage) => connection.send(0, message),
    };
    this.#connections.set(node, connection);
    const [end] = connection.ends;
    end.onMessage = (message: PeerMessage) => {
      this.onMessage(link, message);
      this.observer.onHandled(message);
    };
    await new Promise<void>((resolve) => {
      end.onClose = () => resolve();
    });
    this.#connections.delete(node);
    if (!this.#isClosed) this.onSidecarLost(node);
  }
}
