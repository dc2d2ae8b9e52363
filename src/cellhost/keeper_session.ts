import { Cell } from "../core/cell/cell.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import { decodeJob } from "../core/cell/decode_job.ts";
import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import { buildStart } from "../core/cell/build_start.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { Queue } from "../core/jobs/queue.ts";
import { systemClock } from "../adapters/system_clock.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { Advisor } from "./advisor.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { KeeperBounds } from "./keeper_bounds.ts";
import { runEffects } from "./run_effects.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import type { PeerLink } from "./peer_link.ts";
import { PeerLinks } from "./peer_links.ts";
import type { PeerAddressRow } from "./peer_address_row.ts";
import { servicePressures } from "./service_pressures.ts";
import type { RowWriter } from "./row_writer.ts";
import { UnsavedRows } from "./unsaved_rows.ts";

const tickIntervalMs = 50;
/** After this long without a confirmed append, entries are sent `unsure`. */
const unsureAfterMs = 1_200;
/** Resend interval of `unsure` while the store stays unreachable. */
const unsureIntervalMs = 400;
/** A run is stuck after this share of its expected time without progress. */
const stuckFactor = 0.5;
/** The shortest time without progress after which a run is stuck. */
const stuckMinMs = 1_800;

/** A keeper's epoch: from taking over the cell's stream until it is closed. */
export class KeeperSession {
  readonly cell: Cell;
  readonly #links: PeerLinks;
  readonly #leases: LeaseTracker;
  readonly #openedAtMs = performance.now();
  readonly #unsaved = new UnsavedRows();
  #deferred: DeferredEffect[] = [];
  #isFlushing = false;
  #isClosed = false;
  #isResigning = false;
  #unsureSentAtMs = 0;
  #hasLoggedRenewal = false;
  readonly #timer: NodeJS.Timeout;

  constructor(
    readonly epoch: number,
    readonly writer: RowWriter,
    readonly directory: JobDirectory,
    readonly bounds: KeeperBounds,
    readonly log: Logger,
    readonly keeper: NodeId,
    readonly advisor: Advisor,
    readonly metrics: PrometheusMetrics,
  ) {
    this.#leases = new LeaseTracker(writer, bounds.maxHoldMs, systemClock);
    this.cell = new Cell({ stuckFactor, stuckMinMs });
    this.#links = new PeerLinks({ kind: "hello", epoch, keeper }, log);
    this.#links.onMessage = (link, message) => this.#receive(link, message);
    this.#links.onSidecarLost = (node) => this.cell.handleDisconnect(node);
    this.#links.onEntryConnected = (link) => this.#sendStates(link);
    this.#timer = setInterval(() => this.#flushSoon(), tickIntervalMs);
  }

  /** Loads the cell's jobs, claims and cancellations from the directory. */
  load(queues: Iterable<Queue>): void {
    const nowMs = performance.now();
    this.setQueues(queues);
    const { definitions, rows, cancelled, learned } = this.directory;
    for (const [id, definition] of definitions) {
      this.cell.load(decodeJob(definition, rows.get(id), nowMs));
    }
    if (learned !== undefined) this.cell.restoreLearned(learned);
    for (const id of cancelled) this.#applyAll(this.cell.cancel(id, nowMs));
    for (const worker of this.cell.workers.values()) {
      this.#leases.inherit(worker.node);
    }
    for (const job of this.cell.liveJobs) job.openDueOccurrences(Date.now());
    this.metrics.count("terms");
    this.metrics.setGauge("epoch", this.epoch);
    this.metrics.setGauge("in_office", 1);
    this.log.info("term_begun", {
      epoch: this.epoch,
      jobs: this.cell.liveJobs.size,
      workers: this.cell.workers.size,
    });
  }

  /** Applies the current configuration's queues. Removed ones are kept. */
  setQueues(queues: Iterable<Queue>): void {
    for (const queue of queues) this.cell.queues.set(queue.name, queue);
    this.#flushSoon();
  }

  submit(job: JobDefinition): void {
    const row = this.directory.rows.get(job.id);
    if (row === undefined) this.#applyAll(this.cell.submit(job, Date.now()));
    else if (!this.cell.jobs.has(job.id)) {
      this.cell.load(decodeJob(job, row, performance.now()));
      this.#flushSoon();
    }
  }

  cancel(id: JobId): void {
    this.log.info("job_cancelled", { job: id });
    this.#applyAll(this.cell.cancel(id, performance.now()));
  }

  /** Connects to a peer, or to the new address of a known one. */
  setPeer(node: NodeId, row: PeerAddressRow): void {
    this.#links.set(node, row);
  }

  get isOpen(): boolean {
    return !this.#isClosed;
  }

  get ageMs(): number {
    return performance.now() - this.#openedAtMs;
  }

  /** Whether an entry of at least the given strength is connected. */
  hasEntry(strength: number): boolean {
    return this.#links.hasEntry(strength);
  }

  /** Asks the entries to campaign; remains keeper until one is elected. */
  resign(): void {
    if (this.#isResigning) return;
    this.#isResigning = true;
    this.log.info("keeper_leaves", { epoch: this.epoch });
    this.#links.sendToEntries({ kind: "resigned" });
  }

  /** Ends the session: stops the writer and closes all connections. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timer);
    this.writer.close();
    this.#links.close();
    this.metrics.setGauge("in_office", 0);
    const { epoch } = this;
    this.log.info("term_ended", { epoch, leaving: this.#isResigning });
  }

  #receive(link: PeerLink, message: PeerMessage): void {
    if (this.#isClosed) return;
    const nowMs = performance.now();
    const { node } = link;
    switch (message.kind) {
      case "report": {
        const worker = this.cell.worker(node);
        const isFirst = !worker.isReconciled;
        this.#logNewEnds(node, message.report);
        this.#applyAll(this.cell.handleReport(node, message.report, nowMs));
        const isUnsure = isFirst || message.report.unexplained > 0;
        if (isUnsure && worker.isReconciled) this.#sendKnownRuns(link);
        if (!this.#leases.mayRenew) return;
        this.#leases.renew(node);
        const pressures = servicePressures(worker, this.cell.pressure);
        link.send({ kind: "renew", report: message.number, pressures });
        if (isFirst) this.#logFirstRenewal();
        return;
      }
      case "superseded":
        if (message.epoch > this.epoch) this.writer.depose("superseded");
        return;
      case "started":
        this.cell.markStarted(node, message.task, message.run, nowMs);
        return;
      case "refused": {
        const { task, run, reason } = message;
        this.metrics.count("start_refusals", { reason });
        this.log.info("start_refused", { node, task, run, reason });
        this.#applyAll(this.cell.handleRefusal(node, task, run, reason, nowMs));
        return;
      }
    }
  }

  /** Logs and counts each end that no earlier report held. */
  #logNewEnds(node: NodeId, report: SidecarReport): void {
    const { lastEnd, report: known } = this.cell.worker(node);
    const from = known?.life === report.life ? lastEnd : 0;
    for (const { number, task, run, outcome, checkpoint } of report.ends) {
      if (number <= from) continue;
      this.metrics.count("ends", { outcome });
      this.log.info("end", { node, task, run, outcome, checkpoint });
    }
  }

  /** Sends a sidecar the details of the runs claimed on its worker. */
  #sendKnownRuns(link: PeerLink): void {
    const worker = this.cell.worker(link.node);
    const runs = [...worker.claims.values()].map(buildStart);
    if (runs.length > 0) link.send({ kind: "known", runs });
  }

  #logFirstRenewal(): void {
    if (this.#hasLoggedRenewal) return;
    const workers = [...this.cell.workers.values()];
    if (workers.some(({ isReconciled }) => !isReconciled)) return;
    this.#hasLoggedRenewal = true;
    this.log.info("leases_renewed", {
      epoch: this.epoch,
      since_start_ms: Math.round(performance.now()),
      since_term_ms: Math.round(performance.now() - this.#openedAtMs),
      workers: workers.length,
    });
  }

  #applyAll(effects: Iterable<CellEffect>): void {
    for (const effect of effects) this.#apply(effect);
    this.#flushSoon();
  }

  #apply(effect: CellEffect): void {
    if (effect.kind === "save") this.#unsaved.addJob(effect.job);
    else if (effect.kind === "learned") this.#unsaved.setLearned(effect.row);
    else if (effect.kind === "stop") {
      const { node, task, run, reason, life } = effect;
      this.metrics.count("stops", { reason });
      this.log.info("stop", { node, task, run, reason });
      const stops = [{ task, run, life }];
      this.#links.send(node, { kind: "orders", starts: [], stops });
    } else if (effect.kind === "ask") void this.#ask(effect.step, effect.lives);
    else this.#deferred.push(effect);
  }

  async #ask(step: string, lives: readonly RunnerLife[]): Promise<void> {
    try {
      const tickets = await this.advisor.requestTickets(step, lives);
      if (this.#isClosed) return;
      this.log.info("advised", {
        step,
        asked: lives.length,
        may: tickets.size,
      });
      this.cell.advice.storeAnswer(step, tickets);
      this.#flushSoon();
    } catch (cause) {
      const reason = (cause as Error).message;
      this.log.warn("advice_failed", { step, reason });
    }
  }

  #flushSoon(): void {
    if (this.#isFlushing || this.#isClosed) return;
    this.#isFlushing = true;
    setImmediate(() => this.#flush());
  }

  #flush(): void {
    this.#isFlushing = false;
    if (this.#isClosed) return;
    const nowMs = performance.now();
    this.#releaseLostWorkers(nowMs);
    this.#reportUnsure(nowMs);
    this.metrics.setGauge("jobs_live", this.cell.liveJobs.size);
    for (const effect of this.cell.tick(nowMs, Date.now())) this.#apply(effect);
    const rows = this.#unsaved.take();
    if (rows.length === 0 && this.#deferred.length === 0) return;
    const deferred = this.#deferred;
    this.#deferred = [];
    this.writer.write(rows, () => {
      if (this.#isClosed) return;
      runEffects(deferred, this.#links, this.directory, this.metrics, this.log);
    });
  }

  /** Releases the claims of workers whose leases have certainly expired. */
  #releaseLostWorkers(nowMs: number): void {
    for (const worker of this.cell.workers.values()) {
      if (worker.isReconciled || worker.claims.size === 0) continue;
      if (!this.#leases.hasExpired(worker.node)) continue;
      this.metrics.count("workers_lost");
      this.log.warn("worker_lost", {
        node: worker.node,
        claims: worker.claims.size,
      });
      for (const effect of this.cell.handleWorkerLost(worker.node, nowMs)) {
        this.#apply(effect);
      }
    }
  }

  #reportUnsure(nowMs: number): void {
    if (nowMs - this.writer.confirmedAtMs < unsureAfterMs) return;
    if (nowMs - this.#unsureSentAtMs < unsureIntervalMs) return;
    this.#unsureSentAtMs = nowMs;
    this.#links.sendToEntries({ kind: "unsure" });
  }

  #sendStates(link: PeerLink): void {
    const jobs = [...this.cell.jobs.values()].map((job) =>
      [job.definition.id, this.directory.state(job.definition.id)!] as const
    );
    link.send({ kind: "states", jobs });
    if (this.#isResigning) link.send({ kind: "resigned" });
  }
}
