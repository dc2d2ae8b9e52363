import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { ConnectRouter } from "@connectrpc/connect";
import { HttpLog } from "../adapters/http_log.ts";
import { HttpPools } from "../adapters/http_pools.ts";
import { HttpWorker } from "../adapters/http_worker.ts";
import type { Logger } from "../adapters/logger.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { SystemRandom } from "../adapters/system_random.ts";
import { interferenceOptionsFor } from "../core/interfere/interference_options_for.ts";
import { defaultKeeperOptions } from "../core/keep/default_keeper_options.ts";
import { Keeper } from "../core/keep/keeper.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { SpreadFit } from "../core/place/spread_fit.ts";
import { jobView } from "../keeper/job_view.ts";
import { KeeperHost } from "../keeper/keeper_host.ts";
import { listen } from "../peer/listen.ts";
import { PeerNode } from "../peer/peer_node.ts";
import type { PeerRole } from "../peer/peer_role.ts";
import { RunnerService } from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { SidecarSettings } from "../schema/sidecar_settings.ts";
import type { UnaryRoutes } from "../rpc/unary_routes.ts";
import { createAnnounceServer } from "./create_announce_server.ts";
import { answerCall } from "./answer_call.ts";
import type { CallContext } from "./call_context.ts";
import { RunnerProxy } from "./runner_proxy.ts";
import type { RunnerInfo } from "./runner_info.ts";
import { createRunnerService } from "./create_runner_service.ts";

/** A runner that is silent for longer is left out of announcements. */
const maxSilenceMs = 3_500;
/** Interval of the checks for requests in flight during a drain. */
const drainPollMs = 25;
/** Time for entries to learn that this sidecar leaves, before it refuses. */
const leaveNoticeMs = 1_500;
/** Queue limit until the configuration of the runner's service is known. */
const defaultMaxQueued = 64;
/** HTTP connections to each endpoint that the sidecar calls. */
const connectionsPerTarget = 4;

/** The process beside one runner; it may be elected keeper of its cell. */
export class Sidecar implements PeerRole {
  readonly role = "sidecar";
  readonly readsLog = false;
  readonly cell: SidecarSettings["cell"];
  readonly node: PeerNode;
  readonly keeperHost: KeeperHost;
  proxy: RunnerProxy | undefined;
  readonly #announceServer: Server;
  readonly #pools = new HttpPools(connectionsPerTarget);
  readonly #leavingAbort = new AbortController();
  #runnerAnnouncedAtMs = -Infinity;

  constructor(
    readonly settings: SidecarSettings,
    readonly logger: Logger,
    readonly metrics: StatsdMetrics,
  ) {
    this.cell = settings.cell;
    const log = new HttpLog(settings.log, this.#pools);
    this.node = new PeerNode(settings, this, log, this.#pools, logger, metrics);
    this.keeperHost = new KeeperHost(
      this.#createKeeper(),
      settings.cell,
      log,
      new HttpWorker(this.#pools),
      this.node.peerTable,
      this.node.clients,
      () => this.node.describeSelf(),
      logger,
      metrics,
    );
    this.#announceServer = createAnnounceServer((info) =>
      this.#handleAnnouncement(info)
    );
  }

  /** Accepts the runner's announcements, then joins the other processes. */
  async start(): Promise<void> {
    await listen(this.#announceServer, this.settings.runnerListen);
    await this.node.start();
    this.keeperHost.start();
    const { port } = this.node;
    this.logger.info("ready", { port, cell: this.cell });
  }

  /** Shuts down gracefully: gives notice, then refuses and awaits calls. */
  async drain(): Promise<void> {
    await this.node.announceLeaving();
    await delay(leaveNoticeMs);
    if (this.proxy) this.proxy.admission.isClosed = true;
    this.#leavingAbort.abort();
    while (this.proxy && !this.proxy.admission.isIdle) await delay(drainPollMs);
    await this.stop();
  }

  /** Stops at once and closes all connections. */
  async stop(): Promise<void> {
    this.keeperHost.stop();
    this.#announceServer.close();
    this.#announceServer.closeAllConnections();
    await this.node.stop();
    await this.proxy?.close();
    await this.#pools.close();
  }

  describe(): Partial<PeerInfo> {
    const { worker, cell } = this.settings;
    const runner = this.#describeRunner();
    const keeper = this.#describeKeeper();
    return {
      cell,
      ...(runner === undefined ? {} : { runner }),
      ...(keeper === undefined ? {} : { keeper }),
      ...(worker === undefined ? {} : {
        worker: {
          id: worker.id,
          endpoint: worker.address,
          labels: this.#workerLabels(worker),
        },
      }),
    };
  }

  /** Applies the newest configuration to the keeper and to admission. */
  afterAnnounce(): void {
    this.keeperHost.refreshPeers();
    this.keeperHost.keeper.coordinator.quotaOf = (member) =>
      this.node.config.state.quotaOf(member);
    const [policy] = this.node.config.state.valuesOf("policy");
    if (policy !== undefined) {
      const { latencyWeight, evictionWeight } = policy;
      this.keeperHost.keeper.coordinator.interference.options =
        interferenceOptionsFor(
          latencyWeight,
          evictionWeight,
        );
    }
    if (this.proxy === undefined) return;
    const { service } = this.proxy.info;
    const config = this.node.config.state.find("service", service);
    if (config) this.proxy.admission.maxQueued = config.maxQueued;
  }

  keeperMethods(): ReturnType<PeerRole["keeperMethods"]> {
    const { keeper } = this.keeperHost;
    return {
      keepAlive: ({ cell, epoch, withoutLog }) => {
        if (cell !== this.cell) return { pledgeMs: 0 };
        const nowMs = monotonicNowMs();
        return { pledgeMs: keeper.hearKeepAlive(epoch, withoutLog, nowMs) };
      },
      wake: () => {
        this.keeperHost.handleEvent({ kind: "woken" });
        return {};
      },
      findJob: ({ job }) => {
        const view = keeper.isKeeper ? jobView(keeper.ledger, job) : undefined;
        if (view === undefined) return { found: false };
        const jobJson = new TextEncoder().encode(JSON.stringify(view));
        return { found: true, jobJson };
      },
    };
  }

  addUnaryRoutes(routes: UnaryRoutes): void {
    const context = this.#callContext();
    routes.add(RunnerService, {
      call: (request) => answerCall(context, request),
    });
  }

  addStreamRoutes(router: ConnectRouter): void {
    router.service(RunnerService, createRunnerService(this.#callContext()));
  }

  #callContext(): CallContext {
    const currentProxy = (): RunnerProxy | undefined => this.proxy;
    return {
      get proxy() {
        return currentProxy();
      },
      incarnation: this.node.incarnation,
      metrics: this.metrics,
      leavingSignal: this.#leavingAbort.signal,
    };
  }

  #createKeeper(): Keeper {
    const options = {
      ...defaultKeeperOptions,
      self: this.settings.id,
      incarnation: this.node.incarnation,
      cell: this.settings.cell,
    };
    const placer = new SpreadFit(new SystemRandom());
    return new Keeper(options, placer, Date.now, monotonicNowMs());
  }

  /** A changed announcement replaces the proxy with its queue and orders. */
  #handleAnnouncement(info: RunnerInfo): void {
    this.#runnerAnnouncedAtMs = monotonicNowMs();
    if (JSON.stringify(this.proxy?.info) === JSON.stringify(info)) return;
    void this.proxy?.close();
    this.proxy = new RunnerProxy(info, defaultMaxQueued, this.metrics);
    const { service, slots } = info;
    this.logger.info("runner_announced", {
      service,
      slots,
      port: info.address.port,
    });
    void this.node.announceNow();
  }

  #describeRunner(): PeerInfo["runner"] {
    const silenceMs = monotonicNowMs() - this.#runnerAnnouncedAtMs;
    if (this.proxy === undefined || silenceMs > maxSilenceMs) return undefined;
    const { info, admission } = this.proxy;
    return {
      service: info.service,
      inFlight: admission.inFlight,
      queued: admission.queued,
      limit: admission.limit.value,
      slots: info.slots,
      latencyMs: admission.limit.latencyMs,
    };
  }

  #describeKeeper(): PeerInfo["keeper"] {
    const { keeper } = this.keeperHost;
    const epoch = keeper.ledger.epoch?.number;
    if (!keeper.isKeeper || epoch === undefined) return undefined;
    let freeCpuMilli = 0;
    for (const worker of keeper.ledger.workers.values()) {
      freeCpuMilli += worker.capacity.cpuMilli - worker.used.cpuMilli;
    }
    const waitingTasks = keeper.ledger.waiting.size;
    return { epoch, freeCpuMilli, waitingTasks };
  }

  #workerLabels(
    worker: NonNullable<SidecarSettings["worker"]>,
  ): Record<string, string> {
    const { dataCentre, rack } = this.settings;
    return { ...worker.labels, worker: worker.id, dataCentre, rack };
  }
}
