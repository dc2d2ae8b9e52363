import { createServer, type Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { HttpLog } from "../adapters/http_log.ts";
import { HttpPools } from "../adapters/http_pools.ts";
import type { Logger } from "../adapters/logger.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { SystemRandom } from "../adapters/system_random.ts";
import { rendezvousOrder } from "../core/hash/rendezvous_order.ts";
import type { Log } from "../core/log/log.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { Router } from "../core/route/router.ts";
import { TwoChoices } from "../core/route/two_choices.ts";
import { listen } from "../peer/listen.ts";
import { PeerNode } from "../peer/peer_node.ts";
import type { PeerRole } from "../peer/peer_role.ts";
import type { EntrySettings } from "../schema/entry_settings.ts";
import { CallerApi } from "./caller_api.ts";

/** Interval at which the configuration is appended to the log as a whole. */
const restateIntervalMs = 300_000;
/** Interval of the checks for requests in flight during a drain. */
const drainPollMs = 25;
/** HTTP connections to each endpoint that the entry calls. */
const connectionsPerTarget = 64;

/** The process that serves callers' requests. */
export class Entry implements PeerRole {
  readonly role = "entry";
  readonly readsLog = true;
  readonly node: PeerNode;
  readonly router: Router;
  readonly log: Log;
  readonly #api: CallerApi;
  readonly #server: Server;
  readonly #pools = new HttpPools(connectionsPerTarget);
  #restatedAtMs = monotonicNowMs();

  constructor(
    readonly settings: EntrySettings,
    readonly logger: Logger,
    readonly metrics: StatsdMetrics,
  ) {
    this.log = new HttpLog(settings.log, this.#pools);
    const { log } = this;
    this.node = new PeerNode(settings, this, log, this.#pools, logger, metrics);
    const picker = new TwoChoices(settings.dataCentre, new SystemRandom());
    this.router = new Router(this.node.peerTable, picker);
    this.#api = new CallerApi(this);
    this.#server = createServer((request, response) => {
      void this.#api.handle(request, response);
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  /** Joins the other processes, then opens the port for callers. */
  async start(): Promise<void> {
    await this.node.start();
    const port = await listen(this.#server, this.settings.callers);
    this.logger.info("ready", { port: this.node.port, callersPort: port });
  }

  /** Shuts down gracefully: refuses connections and awaits open requests. */
  async drain(): Promise<void> {
    await this.node.announceLeaving();
    this.#server.close();
    this.#api.leave();
    while (this.#api.inFlight > 0) await delay(drainPollMs);
    await this.stop();
  }

  /** Stops at once and closes all connections. */
  async stop(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    await this.node.stop();
    await this.#pools.close();
  }

  describe(): Partial<PeerInfo> {
    return {};
  }

  afterAnnounce(): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#restatedAtMs < restateIntervalMs) return;
    this.#restatedAtMs = nowMs;
    // Entries that know the same peers rank them alike, so one appends.
    const entries = [...this.node.peerTable.withRole("entry")];
    const ids = [this.settings.id, ...entries.map(({ id }) => id)];
    if (rendezvousOrder("restate", ids)[0] !== this.settings.id) return;
    this.node.config.restate(this.log, this.settings.id).catch(() => {
      this.metrics.count("config.restate_failed");
    });
  }

  /** An entry is no candidate: it pledges nothing and holds no job. */
  keeperMethods(): ReturnType<PeerRole["keeperMethods"]> {
    return {
      keepAlive: () => ({ pledgeMs: 0 }),
      wake: async () => {
        await this.node.announceNow();
        return {};
      },
      findJob: () => ({ found: false }),
    };
  }

  addUnaryRoutes(): void {}

  addStreamRoutes(): void {}
}
