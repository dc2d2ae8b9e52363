import type { Cell } from "../core/cell/cell.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import { applyRefusal } from "../core/cell/apply_refusal.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import { runIdOf } from "../core/jobs/run_id_of.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { Queue } from "../core/jobs/queue.ts";
import type { PeerMessage } from "../link/peer_message.ts";
import type { KeeperLink } from "./keeper_link.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";
import { EvacuationControl } from "./evacuation_control.ts";
import { queryAdvisor } from "./query_advisor.ts";
import { QueueRegister } from "./queue_register.ts";
import { releaseLostWorkers } from "./release_lost_workers.ts";
import { runEffects } from "./run_effects.ts";
import { createCell } from "./create_cell.ts";
import { dropUnstored } from "./drop_unstored.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import { loadJob } from "./load_job.ts";
import { EarlierKeepers } from "./earlier_keepers.ts";
import { LeaseRegister } from "./lease_register.ts";
import { needsConfirmation } from "./needs_confirmation.ts";
import { LeaseTracker } from "./lease_tracker.ts";
import type { PeerAddressRow } from "./peer_address_row.ts";
import { sendKnownRuns } from "./send_known_runs.ts";
import { sendStates } from "./send_states.ts";
import { servicePressures } from "./service_pressures.ts";
import { StopBatch } from "./stop_batch.ts";
import { TermLog } from "./term_log.ts";
import { UnsureNotice } from "./unsure_notice.ts";
import { UnsavedRows } from "./unsaved_rows.ts";

const tickIntervalMs = 50;

/** A keeper's epoch: from taking over the cell's stream until it is closed. */
export class KeeperSession {
  readonly cell: Cell;
  readonly #earlier: EarlierKeepers;
  readonly #leases: LeaseTracker;
  readonly #leaseRegister: LeaseRegister;
  readonly #queues: QueueRegister;
  readonly #termLog: TermLog;
  /** Undefined if the deployment evacuates no data centres. */
  readonly #evacuation: EvacuationControl | undefined;
  readonly #openedAtMs: number;
  readonly #unsaved = new UnsavedRows();
  readonly #deferred: DeferredEffect[] = [];
  readonly #stops = new StopBatch();
  #isFlushing = false;
  #isClosed = false;
  #isResigning = false;
  readonly #unsureNotice: UnsureNotice;

  constructor(readonly options: KeeperSessionOptions) {
    const { epoch, clock, links, log, metrics, writer } = options;
    this.cell = createCell(options);
    this.#queues = new QueueRegister(this.cell, log);
    this.#openedAtMs = clock.nowMs();
    const { bounds: { maxHoldMs }, directory, predecessor } = options;
    this.#earlier = new EarlierKeepers(clock, predecessor, directory.leases);
    this.#leases = new LeaseTracker(writer, maxHoldMs, clock, this.#earlier);
    this.#leaseRegister = new LeaseRegister(epoch, this.#leases, clock);
    this.#termLog = new TermLog(epoch, log, metrics, clock, this.#leases);
    links.onMessage = (link, message) =>
      this.#guard(() => this.#receive(link, message));
    const { evacuateMs } = options.bounds;
    if (evacuateMs !== undefined) {
      this.#evacuation = new EvacuationControl(this.cell, options, evacuateMs);
    }
    links.onSidecarLost = (node) => {
      this.cell.handleDisconnect(node);
      this.#evacuation?.forget(node);
    };
    links.onEntryConnected = (link) => {
      sendStates(link, this.cell, directory);
      if (this.#isResigning) link.send({ kind: "resigned" });
    };
    this.#unsureNotice = new UnsureNotice(writer, links);
    void this.#tickUntilClosed();
  }

  /** Loads the cell's jobs, claims and cancellations from the directory. */
  load(queues: Iterable<Queue> | undefined): void {
    const { clock, directory, log } = this.options;
    this.#queues.restore(directory.queues);
    const nowMs = clock.nowMs();
    const { cancelled, learned } = directory;
    for (const [id, definition] of directory.definitions) {
      loadJob(this.cell, definition, directory.progressOf(id), nowMs, log);
    }
    if (learned !== undefined) this.cell.restoreLearned(learned);
    this.cell.statistics.restore(directory.runTimes);
    for (const id of cancelled) this.#applyAll(this.cell.cancel(id, nowMs));
    const wallMs = clock.wallMs();
    for (const job of this.cell.liveJobs) job.openDueOccurrences(wallMs);
    if (queues !== undefined) this.setQueues(queues);
    this.#termLog.begin(this.cell);
  }

  /** Applies the current configuration's queues. Removed ones are kept. */
  setQueues(queues: Iterable<Queue>): void {
    this.#queues.configure(queues);
    this.#flushSoon();
  }

  /** Evacuates these data centres, and no others. */
  setEvacuations(zones: ReadonlyMap<string, number>): void {
    if (this.#evacuation === undefined || this.#isClosed) return;
    const { progress } = this.#evacuation;
    this.#guard(() => this.#applyAll(progress.apply(zones)));
    this.#evacuation.tellSidecars();
  }

  submit(job: JobDefinition): void {
    const { clock, directory, load, log } = this.options;
    const row = directory.progressOf(job.id);
    if (row === undefined) {
      load?.noteSubmitted(this.cell, job);
      this.#applyAll(this.cell.submit(job, clock.wallMs()));
    } else if (!this.cell.jobs.has(job.id)) {
      loadJob(this.cell, job, row, clock.nowMs(), log);
      this.#flushSoon();
    }
  }

  cancel(id: JobId): void {
    const { clock, log } = this.options;
    log.info("job_cancelled", { job: id });
    this.#applyAll(this.cell.cancel(id, clock.nowMs()));
  }

  /** Connects to a peer, or to the new address of a known one. */
  setPeer(node: NodeId, row: PeerAddressRow): void {
    this.options.links.set(node, row);
  }

  /** Releases what is claimed in lives of a worker that have ended for good. */
  recordEndedLife(node: NodeId, ...lives: RunnerLife[]): void {
    this.cell.worker(node).endedLives = lives;
    this.#flushSoon();
  }

  get epoch(): number {
    return this.options.epoch;
  }

  get isOpen(): boolean {
    return !this.#isClosed;
  }

  get ageMs(): number {
    return this.options.clock.nowMs() - this.#openedAtMs;
  }

  /** Whether an entry of at least the given strength is connected. */
  hasEntry(strength: number): boolean {
    return this.options.links.hasEntry(strength);
  }

  /** Asks the entries to campaign; remains keeper until one is elected. */
  resign(): void {
    if (this.#isResigning) return;
    this.#isResigning = true;
    const { epoch, links, log } = this.options;
    log.info("keeper_leaves", { epoch });
    links.sendToEntries({ kind: "resigned" });
  }

  /** Ends the session: stops the writer and closes all connections. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.options.writer.close();
    this.options.links.close();
    this.#termLog.end(this.#isResigning);
  }

  #receive(link: KeeperLink, message: PeerMessage): void {
    if (this.#isClosed) return;
    const { clock, writer } = this.options;
    const [{ node }, nowMs] = [link, clock.nowMs()];
    switch (message.kind) {
      case "report":
        this.#handleReport(link, message.number, message.report);
        return;
      case "superseded":
        if (message.epoch > this.epoch) writer.depose("superseded");
        return;
      case "started":
        this.#applyAll(this.cell.markStarted(node, message, nowMs), false);
        return;
      case "process":
        this.#earlier.recordProcess(node, message.incarnation, message.ageMs);
        return;
      case "refused": {
        const worker = this.cell.worker(node);
        this.#termLog.recordRefusal(node, message);
        this.#applyAll(applyRefusal(this.cell, worker, message, nowMs));
        link.send({ kind: "noted", refusals: [runIdOf(message)] });
        return;
      }
    }
  }

  #handleReport(link: KeeperLink, number: number, report: SidecarReport): void {
    const [{ node }, nowMs] = [link, this.options.clock.nowMs()];
    const worker = this.cell.worker(node);
    worker.isRenewed = this.#leaseRegister.mayRenew(node);
    const isFirst = !worker.isReconciled;
    this.#termLog.recordEnds(worker, report);
    // Any other change without effects can wait for the next regular tick.
    const isUrgent = isFirst || worker.strays.size > 0;
    this.#applyAll(this.cell.handleReport(node, report, nowMs), isUrgent);
    const refusals = report.refusals?.map(runIdOf) ?? [];
    if (refusals.length > 0) link.send({ kind: "noted", refusals });
    const isUnsure = isFirst || report.unexplained > 0;
    if (isUnsure && worker.isReconciled) sendKnownRuns(link, worker);
    const age = this.#evacuation?.recordReport(node);
    this.#leases.recordReport(node);
    if (!worker.isRenewed) return;
    // A sidecar renews no lease of a runner that does not answer.
    if (report.isUp) this.#leases.renew(node);
    const pressures = servicePressures(worker, this.cell.pressure);
    link.send({ kind: "renew", report: number, pressures, ...age });
    if (isFirst) this.#termLog.recordRenewal(this.cell);
  }

  /** Applies effects; the cell decides soon if there are any, or if urgent. */
  #applyAll(effects: Iterable<CellEffect>, isUrgent = true): void {
    let isDue = isUrgent;
    for (const effect of effects) {
      this.#apply(effect);
      isDue = true;
    }
    this.#stops.sendTo(this.options.links);
    if (isDue) this.#flushSoon();
  }

  #apply(effect: CellEffect): void {
    if (this.#unsaved.add(effect)) return;
    if (effect.kind === "note") this.#termLog.recordNote(effect);
    else if (effect.kind === "stop") {
      this.#termLog.recordStop(effect);
      this.#stops.add(effect);
    } else if (effect.kind === "ask") void this.#ask(effect);
    else this.#deferred.push(effect);
  }

  async #ask(effect: Extract<CellEffect, { kind: "ask" }>): Promise<void> {
    await queryAdvisor(effect, this.cell.advice, this.options);
    this.#flushSoon();
  }

  async #tickUntilClosed(): Promise<void> {
    while (!this.#isClosed) {
      await this.options.clock.sleep(tickIntervalMs);
      this.#flushSoon();
    }
  }

  #flushSoon(): void {
    if (this.#isFlushing || this.#isClosed) return;
    this.#isFlushing = true;
    void this.options.clock.nextTurn().then(() =>
      this.#guard(() => this.#flush())
    );
  }

  /**
   * Ends the term at an unexpected error: what is in memory may be wrong, and
   * the next keeper begins with what is stored.
   */
  #guard(act: () => void): void {
    try {
      act();
    } catch (cause) {
      const detail = cause instanceof Error ? cause.stack : String(cause);
      this.options.log.error("term_failed", { detail });
      this.options.writer.depose("failed");
    }
  }

  #flush(): void {
    this.#isFlushing = false;
    if (this.#isClosed) return;
    const { cell, options: { clock, links, load, writer } } = this;
    const nowMs = clock.nowMs();
    cell.mayMove = !writer.isUnsure(nowMs);
    const lost = releaseLostWorkers(cell, this.#leases, this.#termLog, nowMs);
    for (const effect of lost) this.#apply(effect);
    this.#unsureNotice.sendIfDue(nowMs);
    load?.update(this.cell);
    for (const effect of this.cell.tick(nowMs, clock.wallMs())) {
      this.#apply(effect);
    }
    this.#stops.sendTo(links);
    this.#evacuation?.update();
    this.#termLog.recordState(this.cell);
    const rows = this.#unsaved.take(writer.limits);
    rows.push(...this.#queues.takeRows());
    rows.push(...this.#leaseRegister.takeRows(cell));
    const { takenNumber } = this.#leaseRegister;
    const isStartDue = this.#evacuation?.hasDueStarts ?? false;
    if (rows.length === 0 && this.#deferred.length === 0 && !isStartDue) return;
    const deferred = this.#deferred.splice(0);
    const isUnconfirmed = rows.length === 0 && needsConfirmation(deferred);
    if (isUnconfirmed) rows.push(writer.heartbeatRow());
    writer.write(rows, (rejected) => {
      if (this.#isClosed) return;
      this.#leaseRegister.recordStored(takenNumber, rejected);
      const stored = dropUnstored(deferred, rejected, this.cell);
      const due = this.#evacuation?.release(stored) ?? stored;
      runEffects(due, this.cell, this.options);
    });
  }
}
