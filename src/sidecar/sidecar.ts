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
import { announceServer } from "./announce_server.ts";
import { answerCall } from "./answer_call.ts";
import type { CallHost } from "./call_host.ts";
import { RunnerGate } from "./runner_gate.ts";
import type { RunnerInfo } from "./runner_info.ts";
import { runnerService } from "./runner_service.ts";

const runnerSilentMs = 3_500;
const drainPollMs = 25;
/** Time in which entries hear that this sidecar leaves. */
const noticeMs = 1_500;
const defaultMaxQueued = 64;
const connectionsPerTarget = 4;

/** The process beside one runner; it may keep its cell, too. */
export class Sidecar implements PeerRole {
  readonly role = "sidecar";
  readonly readsLog = false;
  readonly cell: SidecarSettings["cell"];
  readonly node: PeerNode;
  readonly host: KeeperHost;
  gate: RunnerGate | undefined;
  readonly #announcements: Server;
  readonly #pools = new HttpPools(connectionsPerTarget);
  readonly #leaving = new AbortController();
  #runnerHeardAtMs = -Infinity;

  constructor(
    readonly settings: SidecarSettings,
    readonly logger: Logger,
    readonly metrics: StatsdMetrics,
  ) {
    this.cell = settings.cell;
    const log = new HttpLog(settings.log, this.#pools);
    this.node = new PeerNode(settings, this, log, this.#pools, logger, metrics);
    this.host = new KeeperHost(
      this.#newKeeper(),
      settings.cell,
      log,
      new HttpWorker(this.#pools),
      this.node.members,
      this.node.clients,
      () => this.node.self(),
      logger,
      metrics,
    );
    this.#announcements = announceServer((info) => this.#takeRunner(info));
  }

  /** Starts to serve. */
  async start(): Promise<void> {
    await listen(this.#announcements, this.settings.runnerListen);
    await this.node.start();
    this.host.start();
    const { port } = this.node;
    this.logger.info("ready", { port, cell: this.cell });
  }

  /** Leaves: no new work after the notice, and no request in flight is cut. */
  async drain(): Promise<void> {
    await this.node.leave();
    await delay(noticeMs);
    if (this.gate) this.gate.admission.isClosed = true;
    this.#leaving.abort();
    while (this.gate && !this.gate.admission.isIdle) await delay(drainPollMs);
    await this.stop();
  }

  /** Stops for good. */
  async stop(): Promise<void> {
    this.host.stop();
    this.#announcements.close();
    this.#announcements.closeAllConnections();
    await this.node.stop();
    await this.gate?.close();
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

  onTick(): void {
    this.host.refresh();
    this.host.keeper.office.quotaOf = (member) =>
      this.node.config.state.quotaOf(member);
    const [policy] = this.node.config.state.all("policy");
    if (policy !== undefined) {
      const { latencyWeight, evictionWeight } = policy;
      this.host.keeper.office.interference.options = interferenceOptionsFor(
        latencyWeight,
        evictionWeight,
      );
    }
    if (this.gate === undefined) return;
    const { service } = this.gate.info;
    const found = this.node.config.state.find("service", service);
    if (found) this.gate.admission.maxQueued = found.maxQueued;
  }

  keeperMethods(): ReturnType<PeerRole["keeperMethods"]> {
    const { keeper } = this.host;
    return {
      keepAlive: ({ cell, epoch, withoutLog }) => {
        if (cell !== this.cell) return { pledgeMs: 0 };
        const nowMs = monotonicNowMs();
        return { pledgeMs: keeper.hearKeepAlive(epoch, withoutLog, nowMs) };
      },
      wake: () => {
        this.host.hear({ kind: "woken" });
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

  addUnary(routes: UnaryRoutes): void {
    const host = this.#callHost();
    routes.add(RunnerService, { call: (request) => answerCall(host, request) });
  }

  addStreams(router: ConnectRouter): void {
    router.service(RunnerService, runnerService(this.#callHost()));
  }

  #callHost(): CallHost {
    const gate = (): RunnerGate | undefined => this.gate;
    return {
      get gate() {
        return gate();
      },
      incarnation: this.node.incarnation,
      metrics: this.metrics,
      leaving: this.#leaving.signal,
    };
  }

  #newKeeper(): Keeper {
    const options = {
      ...defaultKeeperOptions,
      self: this.settings.id,
      incarnation: this.node.incarnation,
      cell: this.settings.cell,
    };
    const placer = new SpreadFit(new SystemRandom());
    return new Keeper(options, placer, Date.now, monotonicNowMs());
  }

  #takeRunner(info: RunnerInfo): void {
    this.#runnerHeardAtMs = monotonicNowMs();
    if (JSON.stringify(this.gate?.info) === JSON.stringify(info)) return;
    void this.gate?.close();
    this.gate = new RunnerGate(info, defaultMaxQueued, this.metrics);
    const { service, slots } = info;
    this.logger.info("runner_announced", {
      service,
      slots,
      port: info.address.port,
    });
    void this.node.tick();
  }

  #describeRunner(): PeerInfo["runner"] {
    const silenceMs = monotonicNowMs() - this.#runnerHeardAtMs;
    if (this.gate === undefined || silenceMs > runnerSilentMs) return undefined;
    const { info, admission } = this.gate;
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
    const { keeper } = this.host;
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
