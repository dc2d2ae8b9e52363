import type { HttpWorker } from "../adapters/http_worker.ts";
import type { Logger } from "../adapters/logger.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CellRecord } from "../core/fold/cell_record.ts";
import type { Keeper } from "../core/keep/keeper.ts";
import type { KeeperEffect } from "../core/keep/keeper_effect.ts";
import type { KeeperEvent } from "../core/keep/keeper_event.ts";
import type { ServiceLatency } from "../core/interfere/service_latency.ts";
import type { Log } from "../core/log/log.ts";
import type { PeerTable } from "../core/members/peer_table.ts";
import type { PeerInfo } from "../core/members/peer_info.ts";
import type { RpcClients } from "../rpc/rpc_clients.ts";
import type { CellId } from "../schema/cell_id.ts";
import type { WorkerId } from "../schema/worker_id.ts";
import { cellStreamName } from "./cell_stream_name.ts";
import { readCellLedger } from "./read_cell_ledger.ts";

const tickIntervalMs = 100;
const idleTickIntervalMs = 400;
const recordsPerPage = 1_000;
const callTimeoutMs = 800;

/** Performs the effects of a keeper, and passes their results back to it. */
export class KeeperHost {
  readonly #workers = new Map<WorkerId, NonNullable<PeerInfo["worker"]>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    readonly keeper: Keeper,
    readonly cell: CellId,
    readonly log: Log,
    readonly workers: HttpWorker,
    readonly peerTable: PeerTable,
    readonly clients: RpcClients,
    readonly self: () => PeerInfo,
    readonly logger: Logger,
    readonly metrics: StatsdMetrics,
  ) {}

  /** Starts the ticks; they are slower while another process is the keeper. */
  start(): void {
    const isIdle = this.keeper.state === "following";
    this.#timer = setTimeout(() => {
      this.handleEvent({ kind: "tick" });
      this.start();
    }, isIdle ? idleTickIntervalMs : tickIntervalMs);
  }

  /** Stops the ticks, so that another process takes over. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Passes the ready peers, their workers and latencies to the keeper. */
  refreshPeers(): void {
    const readyPeers = [...this.peerTable.sidecarsIn(this.cell)]
      .filter((peer) => peer.state === "ready");
    const all = [this.self(), ...readyPeers];
    for (const { worker } of all) {
      if (worker !== undefined) this.#workers.set(worker.id, worker);
    }
    const peers = all.map(({ id }) => id);
    const workers = [...this.#workers.keys()];
    this.handleEvent({
      kind: "peers",
      peers,
      workers,
      latencies: [...latenciesOf(all)],
    });
  }

  /** Passes an event to the keeper and performs its effects. */
  handleEvent(event: KeeperEvent): void {
    for (const effect of this.keeper.handle(event, monotonicNowMs())) {
      this.#perform(effect);
    }
  }

  #perform(effect: KeeperEffect): void {
    switch (effect.kind) {
      case "append":
        void this.#append(effect.records);
        break;
      case "read":
        void this.#read(effect.from);
        break;
      case "apply":
        void this.#apply(effect);
        break;
      case "keep_alive":
        void this.#keepAlive(effect);
        break;
      case "verdict":
        this.#reportVerdict(effect);
        break;
      case "interference":
        this.metrics.count("interference", effect.action.kind);
        this.logger.info("interference", { cell: this.cell, ...effect.action });
        break;
      case "state":
        this.logger.info("keeper_state", {
          cell: this.cell,
          state: effect.state,
        });
        break;
    }
  }

  async #append(records: readonly CellRecord[]): Promise<void> {
    const startedAtMs = monotonicNowMs();
    try {
      const first = await this.log.append(cellStreamName(this.cell), records);
      this.handleEvent({ kind: "appended", startedAtMs, first, records });
    } catch (cause) {
      const { kind } = GpError.from(cause);
      this.metrics.count("keeper.append_failed", kind);
      this.handleEvent({ kind: "append_failed" });
    }
  }

  async #read(from: number): Promise<void> {
    const startedAtMs = monotonicNowMs();
    try {
      const page = await this.log.read(
        cellStreamName(this.cell),
        from,
        recordsPerPage,
      );
      if (page.from > from) {
        const ledger = await readCellLedger(this.log, this.cell);
        this.handleEvent({ kind: "reloaded", ledger });
        return;
      }
      const records = page.records as readonly CellRecord[];
      const atEnd = from + records.length === page.end;
      const { oldest } = page;
      this.handleEvent({
        kind: "read",
        startedAtMs,
        from,
        records,
        reachedEnd: atEnd,
        oldest,
      });
    } catch (cause) {
      this.metrics.count("keeper.read_failed", GpError.from(cause).kind);
      this.handleEvent({ kind: "read_failed" });
    }
  }

  async #apply(
    { worker: id, command: workerCommand }: Extract<
      KeeperEffect,
      { kind: "apply" }
    >,
  ): Promise<void> {
    const worker = this.#workers.get(id);
    if (worker === undefined) return;
    try {
      const report = await this.workers.apply(worker.endpoint, workerCommand);
      const { labels } = worker;
      this.handleEvent({ kind: "report", report, labels });
    } catch {
      this.metrics.count("keeper.worker_unreachable");
      this.handleEvent({ kind: "unreachable", worker: id });
    }
  }

  async #keepAlive(
    effect: Extract<KeeperEffect, { kind: "keep_alive" }>,
  ): Promise<void> {
    const { candidate, epoch, withoutLog } = effect;
    const endpoint = this.peerTable.find(candidate)?.endpoint;
    if (endpoint === undefined) return;
    const sentAtMs = monotonicNowMs();
    try {
      const { pledgeMs } = await this.clients.peer(endpoint).keepAlive(
        {
          cell: this.cell,
          epoch,
          withoutLog,
          keeper: this.keeper.options.self,
        },
        { timeoutMs: callTimeoutMs },
      );
      this.handleEvent({ kind: "pledged", candidate, sentAtMs, pledgeMs });
    } catch {
      this.metrics.count("keeper.candidate_unreachable");
    }
  }

  #reportVerdict(effect: Extract<KeeperEffect, { kind: "verdict" }>): void {
    const { offset, record } = effect;
    const fields = { cell: this.cell, offset, kind: record.kind };
    if (effect.voidReason !== undefined) {
      this.metrics.count("record.void", effect.voidReason);
      this.logger.warn("record_void", { ...fields, reason: effect.voidReason });
      return;
    }
    this.metrics.count("record", record.kind);
    if ("task" in record) {
      const { task, attempt } = record;
      const reason = "reason" in record ? record.reason : undefined;
      this.logger.info("record", { ...fields, task, attempt, reason });
    }
  }
}

function* latenciesOf(peers: readonly PeerInfo[]): Generator<ServiceLatency> {
  for (const { runner, worker } of peers) {
    if (!runner || !worker || runner.latencyMs <= 0) continue;
    const { service, latencyMs } = runner;
    yield { worker: worker.id, service, latencyMs };
  }
}
