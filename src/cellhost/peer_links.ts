import type { NodeId } from "../core/jobs/node_id.ts";
import type { Logger } from "../adapters/logger.ts";
import type { KeeperMessage } from "../link/keeper_message.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { KeeperLink } from "./keeper_link.ts";
import type { KeeperLinks } from "./keeper_links.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerAddressRow } from "./peer_address_row.ts";

/** Connections over TCP, each to a peer's newest known address. */
export class PeerLinks implements KeeperLinks {
  onEntryConnected: (link: KeeperLink) => void = () => {};
  onMessage: (link: KeeperLink, message: PeerMessage) => void = () => {};
  onSidecarLost: (node: NodeId) => void = () => {};
  readonly #links = new Map<NodeId, PeerLink>();

  constructor(readonly hello: KeeperMessage, readonly log: Logger) {}

  set(node: NodeId, row: PeerAddressRow): void {
    const known = this.#links.get(node);
    if (known !== undefined) {
      const isSame = known.row.host === row.host && known.row.port === row.port;
      known.row = row;
      // The link reconnects by itself to a new process at the same address.
      if (isSame) return;
      known.close();
      // Commands in transit may be lost; the next report shows what to resend.
      if (row.role === "sidecar") this.onSidecarLost(node);
    }
    const link = new PeerLink(node, row, this.hello, this.log);
    this.#links.set(node, link);
    link.onMessage = (message) => this.onMessage(link, message);
    if (row.role === "entry") link.onOpen = () => this.onEntryConnected(link);
    else link.onLost = () => this.onSidecarLost(node);
    link.open();
  }

  send(node: NodeId, message: KeeperMessage): void {
    this.#links.get(node)?.send(message);
  }

  sendToEntries(message: KeeperMessage): void {
    for (const link of this.#links.values()) {
      if (link.row.role === "entry") link.send(message);
    }
  }

  hasEntry(strength: number): boolean {
    for (const { row, isOpen } of this.#links.values()) {
      if (row.role === "entry" && isOpen && row.strength >= strength) {
        return true;
      }
    }
    return false;
  }

  close(): void {
    for (const link of this.#links.values()) link.close();
  }
}
