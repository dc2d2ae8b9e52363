import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { HttpPools } from "../adapters/http_pools.ts";
import type { Logger } from "../adapters/logger.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { rendezvousOrder } from "../core/hash/rendezvous_order.ts";
import type { Log } from "../core/log/log.ts";
import { PeerTable } from "../core/members/peer_table.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import {
  type AnnounceReply,
  AnnounceReplySchema,
  GetConfigReplySchema,
  PeerService,
} from "../rpc/gen/gypsumpond/v1/peer_pb.ts";
import { peerFromMessage } from "../rpc/peer_from_message.ts";
import { peerToMessage } from "../rpc/peer_to_message.ts";
import { RpcClients } from "../rpc/rpc_clients.ts";
import { UnaryRoutes } from "../rpc/unary_routes.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { PeerId } from "../schema/peer_id.ts";
import { ConfigStore } from "./config_store.ts";
import { listen } from "./listen.ts";
import type { PeerList } from "./peer_list.ts";
import type { PeerRole } from "./peer_role.ts";

type ReplyInit = MessageInitShape<typeof AnnounceReplySchema>;

const announceEveryMs = 1_000;
const callTimeoutMs = 1_000;
/** To how many entries a sidecar announces itself. */
const entriesPerSidecar = 3;
/** How many peers of its cell a sidecar learns of if it is not the keeper. */
const neighboursPerSidecar = 8;

/**
 * This process as a peer: it announces itself, learns of the other peers from
 * their replies, and keeps its configuration up to date.
 */
export class PeerNode {
  readonly peerTable: PeerTable;
  readonly config = new ConfigStore();
  readonly clients: RpcClients;
  readonly incarnation: string;
  readonly startedAtMs = Date.now();
  state: PeerInfo["state"] = "starting";
  port = 0;
  readonly #server: Server;
  readonly #peerLists = new Map<PeerId, PeerList>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    readonly settings: {
      readonly id: PeerId;
      readonly dataCentre: string;
      readonly rack: string;
      readonly listen: Endpoint;
      readonly advertised?: Endpoint | undefined;
      readonly seeds: readonly Endpoint[];
    },
    readonly role: PeerRole,
    readonly log: Log,
    readonly pools: HttpPools,
    readonly logger: Logger,
    readonly metrics: StatsdMetrics,
  ) {
    this.peerTable = new PeerTable(settings.id);
    this.clients = new RpcClients(pools);
    const nonce = randomBytes(3).toString("hex");
    this.incarnation = `${this.startedAtMs.toString(36)}-${nonce}`;
    this.#server = createServer();
    this.#server.keepAliveTimeout = 30_000;
  }

  /** Starts to listen and to announce this process. */
  async start(): Promise<void> {
    const unary = new UnaryRoutes();
    this.#addRoutes(unary);
    this.role.addUnaryRoutes(unary);
    const routes = (router: ConnectRouter): void =>
      this.role.addStreamRoutes(router);
    const streams = connectNodeAdapter({ routes });
    this.#server.on("request", unary.listener(streams));
    this.port = await listen(this.#server, this.settings.listen);
    this.state = "ready";
    await this.announceNow();
    this.#timer = setInterval(() => void this.announceNow(), announceEveryMs);
  }

  /** Announces at once that this process is leaving. */
  async announceLeaving(): Promise<void> {
    this.state = "leaving";
    await this.announceNow();
  }

  /** Stops announcing and closes the server and all connections. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
    this.clients.close();
  }

  /** What this process announces about itself now. */
  describeSelf(): PeerInfo {
    const { id, dataCentre, rack } = this.settings;
    const { role, incarnation, startedAtMs, state, port } = this;
    const { listen, advertised } = this.settings;
    const endpoint = advertised ?? { host: listen.host, port };
    const configRevision = this.config.state.revision;
    return {
      id,
      incarnation,
      startedAtMs,
      role: role.role,
      dataCentre,
      rack,
      endpoint,
      state,
      configRevision,
      ...role.describe(),
    };
  }

  /** Reads new configuration and announces this process to its targets once. */
  async announceNow(): Promise<void> {
    this.peerTable.expire(monotonicNowMs());
    if (this.role.readsLog) await this.config.readLog(this.log);
    await Promise.all(
      this.#announceTargets().map((target) => this.#announceTo(target)),
    );
    this.role.afterAnnounce();
  }

  #addRoutes(routes: UnaryRoutes): void {
    routes.add(PeerService, {
      announce: ({ self, knownVersion }) => {
        const sender = self && this.#receive(peerFromMessage(self), 0);
        const reply = this.#replyTo(sender, knownVersion);
        return create(AnnounceReplySchema, reply);
      },
      getConfig: ({ aboveRevision }) => {
        const { state } = this.config;
        const isNewer = state.revision > Number(aboveRevision);
        const json = isNewer ? JSON.stringify(this.config.image()) : "";
        const stateJson = new TextEncoder().encode(json);
        const revision = BigInt(state.revision);
        return create(GetConfigReplySchema, { revision, stateJson });
      },
      ...this.role.keeperMethods(),
    });
  }

  #announceTargets(): Endpoint[] {
    const entries = [...this.peerTable.withRole("entry")];
    if (entries.length === 0) return [...this.settings.seeds];
    if (this.role.role === "entry") return entries.map((peer) => peer.endpoint);
    const key = this.role.cell ?? this.settings.id;
    const ranked = rendezvousOrder(key, entries.map(({ id }) => id));
    return ranked.slice(0, entriesPerSidecar)
      .map((id) => this.peerTable.find(id)?.endpoint)
      .filter((endpoint) => endpoint !== undefined);
  }

  async #announceTo(endpoint: Endpoint): Promise<void> {
    const isSelf = endpoint.port === this.port &&
      endpoint.host === this.settings.listen.host;
    if (isSelf) return;
    const knownVersion = this.#knownVersionOf(endpoint);
    try {
      const reply = await this.clients.peer(endpoint).announce(
        { self: peerToMessage(this.describeSelf()), knownVersion },
        { timeoutMs: callTimeoutMs },
      );
      this.#handleReply(reply);
    } catch (cause) {
      this.metrics.count("announce.failed");
      const { host, port } = endpoint;
      const detail = (cause as Error).message;
      this.logger.debug("announce_failed", { host, port, detail });
    }
  }

  #knownVersionOf({ host, port }: Endpoint): bigint {
    for (const [id, { version }] of this.#peerLists) {
      const known = this.peerTable.find(id)?.endpoint;
      if (known?.host === host && known.port === port) return version;
    }
    return 0n;
  }

  #handleReply(reply: AnnounceReply): void {
    if (reply.self === undefined) return;
    const nowMs = monotonicNowMs();
    const sender = this.#receive(peerFromMessage(reply.self), 0);
    const last = this.#peerLists.get(sender.id);
    if (reply.unchanged && last?.incarnation === sender.incarnation) {
      for (const { id, incarnation } of last.peers) {
        this.peerTable.confirm(id, incarnation, nowMs);
      }
      return;
    }
    if (reply.unchanged) {
      this.#peerLists.delete(sender.id);
      return;
    }
    const peers = reply.peers.map((message) =>
      this.#receive(peerFromMessage(message), message.ageMs)
    );
    const { incarnation } = sender;
    const { version } = reply;
    this.#peerLists.set(sender.id, { incarnation, version, peers });
  }

  #receive(peer: PeerInfo, ageMs: number): PeerInfo {
    this.peerTable.put(peer, ageMs, monotonicNowMs());
    const isAhead = peer.configRevision > this.config.state.revision;
    if (isAhead && ageMs === 0) void this.#fetchConfig(peer);
    return peer;
  }

  async #fetchConfig({ id, endpoint }: PeerInfo): Promise<void> {
    const aboveRevision = BigInt(this.config.state.revision);
    try {
      const reply = await this.clients.peer(endpoint).getConfig(
        { aboveRevision },
        { timeoutMs: callTimeoutMs },
      );
      if (reply.stateJson.length === 0) return;
      const image = JSON.parse(new TextDecoder().decode(reply.stateJson));
      if (!this.config.install(image)) return;
      const revision = this.config.state.revision;
      this.logger.info("config_installed", { revision, from: id });
    } catch {
      this.metrics.count("config.fetch_failed");
    }
  }

  #replyTo(sender: PeerInfo | undefined, knownVersion: bigint): ReplyInit {
    const self = peerToMessage(this.describeSelf());
    const version = BigInt(this.peerTable.version);
    const getsFullList = sender?.role !== "sidecar";
    if (!getsFullList && knownVersion === version) {
      return { self, version, unchanged: true };
    }
    const nowMs = monotonicNowMs();
    const nearIds = getsFullList
      ? new Set<PeerId>()
      : this.#neighboursOf(sender);
    const peers = [...this.peerTable.liveRows()]
      .filter(({ peer }) => getsFullList || isListedFor(sender, peer, nearIds))
      .map(({ peer, heardAtMs }) => peerToMessage(peer, nowMs - heardAtMs));
    return { self, version, peers };
  }

  #neighboursOf({ cell }: PeerInfo): ReadonlySet<PeerId> {
    if (cell === undefined) return new Set();
    const ids = [...this.peerTable.sidecarsIn(cell)].map(({ id }) => id);
    return new Set(rendezvousOrder(cell, ids).slice(0, neighboursPerSidecar));
  }
}

/**
 * Whether a sidecar's list holds the peer: it holds all entries, the keeper of
 * its cell and some sidecars of it; the keeper gets all sidecars of its cell.
 */
function isListedFor(
  sender: PeerInfo,
  peer: PeerInfo,
  nearIds: ReadonlySet<PeerId>,
): boolean {
  if (peer.role === "entry") return true;
  if (sender.cell === undefined || peer.cell !== sender.cell) return false;
  if (sender.keeper !== undefined || peer.keeper !== undefined) return true;
  return nearIds.has(peer.id);
}
