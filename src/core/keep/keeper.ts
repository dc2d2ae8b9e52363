import type { Labels } from "../../schema/labels.ts";
import type { MemberId } from "../../schema/member_id.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import { applyRecord } from "../fold/apply_record.ts";
import { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { imageParts } from "../fold/image_parts.ts";
import type { TaskRow } from "../fold/task_row.ts";
import { rendezvous } from "../hash/rendezvous.ts";
import { Authority } from "../lease/authority.ts";
import { LeaseBook } from "../lease/lease_book.ts";
import type { Placer } from "../place/placer.ts";
import type { WorkerOrder } from "../worker/worker_order.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import { CandidateWatch } from "./candidate_watch.ts";
import { ClaimRound } from "./claim_round.ts";
import { keeperChart } from "./keeper_chart.ts";
import type { KeeperEffect } from "./keeper_effect.ts";
import type { KeeperEvent } from "./keeper_event.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import type { KeeperState } from "./keeper_state.ts";
import { PledgeBook } from "./pledge_book.ts";
import type { RecordHead } from "./record_head.ts";
import { reportRecords } from "./report_records.ts";
import { SyncBook } from "./sync_book.ts";
import { workerOps } from "./worker_ops.ts";

type Effects = Generator<KeeperEffect, void>;

interface Seen {
  readonly report: WorkerReport;
  readonly labels: Labels;
}

/** The order in which candidates try to take over, one step apart. */
const rankStepMs = 400;
/** How long a process that may not take over waits before it looks again. */
const lookAgainMs = 3_000;

/**
 * Decides for one cell: who keeps it, which tasks run where, and which leases
 * are renewed or reclaimed. Takes events and yields effects; the clock that it
 * is given must never run backwards.
 */
export class Keeper {
  ledger = new CellLedger();
  state: KeeperState = keeperChart.initial;
  /** The oldest offset that the log kept at the last read. */
  oldest = 0;
  readonly claims: ClaimRound;
  quotaOf: (member: MemberId) => number = () => 1;
  readonly #authority: Authority;
  readonly #leases: LeaseBook;
  readonly #pledges: PledgeBook;
  readonly #watch = new CandidateWatch();
  readonly #syncs: SyncBook;
  readonly #reports = new Map<WorkerId, Seen>();
  #peers: readonly PeerId[] = [];
  #workers: readonly WorkerId[] = [];
  #appending = false;
  #reading = false;
  #caughtUp = false;
  #settledAtMs = Infinity;
  #readAtMs = -Infinity;
  #flushedAtMs = -Infinity;
  #keptAliveAtMs = -Infinity;
  #snapshotAt = 0;
  #snapshotAtMs: number;
  #snapshots = 0;

  constructor(
    readonly options: KeeperOptions,
    placer: Placer,
    readonly wallClock: () => number,
    startedAtMs: number,
  ) {
    const { claimsPerSecond, evictionsPerSecond, lease } = options;
    this.claims = new ClaimRound(placer, claimsPerSecond, evictionsPerSecond);
    this.#authority = new Authority(lease);
    this.#leases = new LeaseBook(lease);
    this.#pledges = new PledgeBook(lease, startedAtMs);
    this.#syncs = new SyncBook(options.syncEveryMs);
    this.#snapshotAtMs = startedAtMs;
    this.#watch.reset(startedAtMs);
  }

  /** Whether this process is the cell's keeper, as far as it knows. */
  get isKeeper(): boolean {
    return this.state === "settling" || this.state === "keeping";
  }

  /** Answers a keep-alive of the cell's keeper with a pledge's length. */
  hearKeepAlive(epoch: number, nowMs: number): number {
    if (this.isKeeper || this.state === "claiming") return 0;
    return this.#pledges.hear(epoch, nowMs);
  }

  /** Whether leases may be granted now. */
  holdsAuthority(nowMs: number): boolean {
    return this.isKeeper && this.#authority.holds(this.#others(), nowMs);
  }

  /** Takes one event and yields what it leads to. */
  *handle(event: KeeperEvent, nowMs: number): Effects {
    yield* this.#take(event, nowMs);
    yield* this.#act(event, nowMs);
  }

  *#take(event: KeeperEvent, nowMs: number): Effects {
    switch (event.kind) {
      case "read":
        yield* this.#takeRead(event, nowMs);
        break;
      case "read_failed":
        this.#reading = false;
        break;
      case "reloaded":
        this.#reading = false;
        this.ledger = event.ledger;
        this.#snapshotAt = event.ledger.next;
        break;
      case "appended":
        yield* this.#takeAppended(event, nowMs);
        break;
      case "append_failed":
        yield* this.#takeAppendFailure();
        break;
      case "report":
        this.#takeReport(event, nowMs);
        break;
      case "unreachable":
        this.#syncs.ended(event.worker);
        break;
      case "peers":
        this.#peers = event.peers;
        this.#workers = event.workers;
        break;
      case "pledged":
        this.#takePledge(event, nowMs);
        break;
      case "woken":
        this.#readAtMs = -Infinity;
        break;
      case "tick":
        break;
    }
  }

  *#takeRead(
    event: Extract<KeeperEvent, { kind: "read" }>,
    nowMs: number,
  ): Effects {
    this.#reading = false;
    this.oldest = event.oldest;
    const skip = this.ledger.next - event.from;
    if (skip < 0) return;
    const epochBefore = this.ledger.epoch?.number;
    for (const record of event.records.slice(skip)) {
      const offset = this.ledger.next;
      const verdict = applyRecord(this.ledger, record);
      this.#settle(record);
      yield verdict.accepted
        ? { kind: "verdict", offset, record }
        : { kind: "verdict", offset, record, void: verdict.reason };
    }
    this.#caughtUp = event.atEnd;
    if (!event.atEnd) this.#readAtMs = -Infinity;
    if (event.atEnd) this.#authority.readHead(event.startedAtMs);
    const changed = this.ledger.epoch?.number !== epochBefore;
    if (changed) yield* this.#takeEpoch(nowMs);
  }

  /** With nothing of others in between, an append reads the stream's end. */
  *#takeAppended(
    event: Extract<KeeperEvent, { kind: "appended" }>,
    nowMs: number,
  ): Effects {
    this.#appending = false;
    this.#caughtUp = false;
    this.#readAtMs = -Infinity;
    if (event.first !== this.ledger.next) return;
    const { startedAtMs, first: from, records } = event;
    const read = { kind: "read", startedAtMs, from, records } as const;
    const { oldest } = this;
    yield* this.#takeRead({ ...read, atEnd: true, oldest }, nowMs);
    this.#readAtMs = nowMs;
  }

  /** Forgets what was asked of a task that has moved on. */
  #settle(record: CellRecord): void {
    if (!("task" in record)) return;
    if (record.kind !== "claimed") this.claims.evicting.delete(record.task);
    const worker = this.ledger.tasks.get(record.task)?.worker;
    if (worker !== undefined) this.#syncs.hurry(worker);
  }

  *#takeEpoch(nowMs: number): Effects {
    const { epoch } = this.ledger;
    const isMine = epoch?.keeper === this.options.self &&
      epoch.incarnation === this.options.incarnation;
    this.#watch.reset(nowMs);
    if (!isMine) {
      yield* this.#step("EPOCH_LOST");
      this.#pledges.saw(epoch?.number ?? 0, nowMs);
      return;
    }
    if (this.isKeeper) return;
    this.#reports.clear();
    this.#leases.reset(nowMs);
    const { leaseMs, freshMs, driftRatio, marginMs } = this.options.lease;
    this.#settledAtMs = nowMs + freshMs + leaseMs * (1 + driftRatio) + marginMs;
    yield* this.#step("EPOCH_WON");
  }

  *#takeAppendFailure(): Effects {
    this.#appending = false;
    this.#caughtUp = false;
    if (this.state === "claiming") yield* this.#step("APPEND_FAILED");
  }

  #takeReport(
    { report, labels }: Extract<KeeperEvent, { kind: "report" }>,
    nowMs: number,
  ): void {
    this.#syncs.ended(report.worker);
    this.#leases.reported(report, nowMs);
    this.#reports.set(report.worker, { report, labels });
    for (const seen of report.tasks) {
      const task = this.ledger.tasks.get(seen.task);
      const job = task && this.ledger.jobs.get(task.job);
      if (job) this.claims.sizes.observe(job.job.template, seen);
    }
  }

  #takePledge(
    event: Extract<KeeperEvent, { kind: "pledged" }>,
    nowMs: number,
  ): void {
    const pledged = event.pledgeMs >= this.options.lease.pledgeMs;
    this.#watch.answered(event.candidate, pledged, nowMs);
    if (pledged) this.#authority.pledged(event.candidate, event.sentAtMs);
  }

  *#act(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "following") yield* this.#follow(nowMs);
    if (this.state === "catching_up") yield* this.#catchUp(nowMs);
    if (this.isKeeper) yield* this.#keep(event, nowMs);
    if (this.state !== "following") yield* this.#readOn(nowMs);
  }

  *#follow(nowMs: number): Effects {
    const ranked = rendezvous(this.options.cell, this.#withSelf());
    const rank = ranked.indexOf(this.options.self);
    const patienceMs = this.options.lease.pledgeMs + rank * rankStepMs;
    if (!this.#pledges.isSilent(patienceMs, nowMs)) return;
    this.#caughtUp = false;
    this.#readAtMs = -Infinity;
    yield* this.#step("KEEPER_SILENT");
  }

  *#catchUp(nowMs: number): Effects {
    if (this.#pledges.isBound(nowMs) || this.#pledges.heardLately(nowMs)) {
      yield* this.#step("KEEPER_HEARD");
      return;
    }
    if (!this.#caughtUp || this.#appending) return;
    const { epoch } = this.ledger;
    const { self } = this.options;
    const eligible = epoch === undefined ||
      epoch.candidates.includes(self);
    if (!eligible) {
      this.#pledges.holdOff(nowMs + lookAgainMs);
      yield* this.#step("NOT_ELIGIBLE");
      return;
    }
    yield* this.#step("CAUGHT_UP");
    this.#pledges.trying(epoch?.number ?? 0);
    yield* this.#append([this.#epochRecord(this.#chooseCandidates(nowMs))]);
  }

  *#keep(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "settling" && nowMs > this.#settledAtMs) {
      yield* this.#step("SETTLED");
    }
    yield* this.#keepAlive(nowMs);
    yield* this.#flush(event, nowMs);
    yield* this.#sync(nowMs);
  }

  *#keepAlive(nowMs: number): Effects {
    if (nowMs - this.#keptAliveAtMs < this.options.keepAliveEveryMs) return;
    this.#keptAliveAtMs = nowMs;
    const epoch = this.ledger.epoch?.number ?? 0;
    for (const candidate of this.#others()) {
      yield { kind: "keep_alive", candidate, epoch };
    }
  }

  *#flush(event: KeeperEvent, nowMs: number): Effects {
    if (this.#appending || !this.#caughtUp) return;
    if (!this.#isUrgent(event)) {
      if (nowMs - this.#flushedAtMs < this.options.flushEveryMs) return;
    }
    this.#flushedAtMs = nowMs;
    const records = [...this.#propose(nowMs)];
    for (const worker of this.#evictedFrom()) this.#syncs.hurry(worker);
    if (records.length > 0) yield* this.#append(records);
  }

  /** Urgent work, and reports that make room for it, do not wait. */
  #isUrgent(event: KeeperEvent): boolean {
    if (event.kind !== "read" && event.kind !== "report") return false;
    return this.ledger.urgentWaiting.size > 0;
  }

  *#propose(nowMs: number): Generator<CellRecord> {
    const head = this.#head();
    const candidates = this.#chooseCandidates(nowMs);
    if (this.#needsNewEpoch(candidates, nowMs)) {
      yield this.#epochRecord(candidates);
      return;
    }
    yield* this.#proposeWorkers(nowMs);
    for (const { report } of this.#reports.values()) {
      yield* reportRecords(this.ledger, report, head, this.claims.evicting);
    }
    yield* this.#proposeReclaims(nowMs);
    yield* this.claims.propose(
      this.ledger,
      (worker) => this.#isReachable(worker, nowMs),
      this.quotaOf,
      head,
      nowMs,
    );
    yield* this.#proposeForgetting(nowMs);
    yield* this.#proposeSnapshot(nowMs);
  }

  *#proposeWorkers(nowMs: number): Generator<CellRecord> {
    for (const { report, labels } of this.#reports.values()) {
      const row = this.ledger.workers.get(report.worker);
      const same = row?.bootId === report.bootId &&
        JSON.stringify([row.capacity, row.labels]) ===
          JSON.stringify([report.capacity, labels]);
      if (same || !this.#isReachable(report.worker, nowMs)) continue;
      if (row && row.bootId !== report.bootId && row.tasks.size > 0) continue;
      yield {
        ...this.#head(),
        kind: "worker",
        worker: report.worker,
        bootId: report.bootId,
        capacity: report.capacity,
        labels,
      };
    }
  }

  *#proposeReclaims(nowMs: number): Generator<CellRecord> {
    if (this.state !== "keeping") return;
    for (const worker of this.ledger.workers.values()) {
      if (!this.#leases.hasLapsed(worker.id, nowMs)) continue;
      const report = this.#reports.get(worker.id)?.report;
      const restarted = report !== undefined &&
        report.bootId !== worker.bootId;
      if (this.#isReachable(worker.id, nowMs) && !restarted) continue;
      for (const id of worker.tasks) {
        const task = this.ledger.tasks.get(id);
        if (task === undefined) continue;
        const { attempt } = task;
        yield { ...this.#head(), kind: "reclaimed", task: id, attempt };
      }
    }
  }

  *#proposeForgetting(nowMs: number): Generator<CellRecord> {
    if (!this.#isSnapshotDue(nowMs)) return;
    const ended = [...this.ledger.jobs.values()]
      .filter((row) => row.endedAtMs !== undefined)
      .sort((a, b) => (a.endedAtMs ?? 0) - (b.endedAtMs ?? 0));
    const excess = ended.length - this.options.endedJobsKept;
    for (const row of ended.slice(0, Math.max(0, excess))) {
      yield { ...this.#head(), kind: "forgotten", job: row.job.id };
    }
  }

  *#proposeSnapshot(nowMs: number): Generator<CellRecord> {
    const covers = this.ledger.next;
    const { rowsPerSnapshotPart, self, incarnation } = this.options;
    if (!this.#isSnapshotDue(nowMs)) return;
    this.#snapshotAt = covers;
    this.#snapshotAtMs = nowMs;
    const id = `${self}-${incarnation}-${this.#snapshots++}`;
    const images = [...imageParts(this.ledger, rowsPerSnapshotPart)];
    const parts = images.length;
    for (const [part, image] of images.entries()) {
      yield {
        ...this.#head(),
        kind: "snapshot",
        id,
        part,
        parts,
        covers,
        image,
      };
    }
  }

  #isSnapshotDue(nowMs: number): boolean {
    const { recordsPerSnapshot, snapshotEveryMs } = this.options;
    const records = this.ledger.next - this.#snapshotAt;
    if (records >= recordsPerSnapshot) return true;
    if (this.oldest > this.#snapshotAt) return true;
    return records > 0 && nowMs - this.#snapshotAtMs >= snapshotEveryMs;
  }

  *#sync(nowMs: number): Effects {
    for (const worker of this.#workers) {
      if (!this.#syncs.take(worker, nowMs)) continue;
      const order = this.#orderFor(worker, nowMs);
      yield order === undefined
        ? { kind: "apply", worker }
        : { kind: "apply", worker, order };
    }
  }

  #orderFor(id: WorkerId, nowMs: number): WorkerOrder | undefined {
    const worker = this.ledger.workers.get(id);
    const report = this.#reports.get(id)?.report;
    if (worker === undefined || report === undefined) return undefined;
    if (report.bootId !== worker.bootId) return undefined;
    if (!this.holdsAuthority(nowMs)) return undefined;
    const stopping = (task: TaskRow): boolean =>
      this.claims.evicting.has(task.id);
    const ops = [...workerOps(this.ledger, worker, report, stopping)];
    const validUntilMs = this.#leases.grant(id);
    if (validUntilMs === undefined) return undefined;
    return { bootId: worker.bootId, validUntilMs, ops };
  }

  *#readOn(nowMs: number): Effects {
    if (this.#reading || this.#appending) return;
    if (nowMs - this.#readAtMs < this.options.readEveryMs) return;
    this.#reading = true;
    this.#readAtMs = nowMs;
    yield { kind: "read", from: this.ledger.next };
  }

  *#append(records: readonly CellRecord[]): Effects {
    this.#appending = true;
    yield { kind: "append", records };
  }

  *#step(event: Parameters<typeof keeperChart.next>[1]): Effects {
    const next = keeperChart.next(this.state, event);
    if (next === undefined) return;
    this.state = next;
    yield { kind: "state", state: next };
  }

  #isReachable(worker: WorkerId, nowMs: number): boolean {
    const lease = this.#leases.find(worker);
    const silenceMs = nowMs - (lease?.reportedAtMs ?? -Infinity);
    return silenceMs < this.options.lease.leaseMs / 2;
  }

  #evictedFrom(): WorkerId[] {
    return [...this.claims.evicting.keys()]
      .map((id) => this.ledger.tasks.get(id as TaskRow["id"])?.worker)
      .filter((worker) => worker !== undefined);
  }

  #needsNewEpoch(chosen: readonly PeerId[], nowMs: number): boolean {
    const current = this.#others();
    if (current.some((peer) => this.#watch.isUnable(peer, nowMs))) return true;
    const missing = chosen.some((peer) =>
      peer !== this.options.self && !current.includes(peer)
    );
    const stale = current.length < this.options.candidates - 1 ||
      current.some((peer) => this.#watch.isSilent(peer, nowMs));
    return missing && stale;
  }

  #chooseCandidates(nowMs: number): PeerId[] {
    const { self, cell, candidates } = this.options;
    const live = this.#withSelf().filter((peer) =>
      peer === self || !this.#watch.isSilent(peer, nowMs)
    );
    const others = rendezvous(cell, live).filter((peer) => peer !== self);
    return [self, ...others.slice(0, candidates - 1)];
  }

  #withSelf(): PeerId[] {
    return [...new Set([this.options.self, ...this.#peers])];
  }

  #others(): PeerId[] {
    const { self } = this.options;
    const candidates = this.ledger.epoch?.candidates ?? [];
    return candidates.filter((peer) => peer !== self);
  }

  #epochRecord(candidates: readonly PeerId[]): CellRecord {
    const number = (this.ledger.epoch?.number ?? 0) + 1;
    const { atMs, by } = this.#head();
    const { incarnation } = this.options;
    return { atMs, by, kind: "epoch", number, incarnation, candidates };
  }

  #head(): RecordHead {
    const epoch = this.ledger.epoch?.number ?? 0;
    return { atMs: this.wallClock(), by: this.options.self, epoch };
  }
}
