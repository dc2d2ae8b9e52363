import { applyRecord } from "../fold/apply_record.ts";
import { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { LeaseAuthority } from "../lease/lease_authority.ts";
import type { Placer } from "../place/placer.ts";
import { CandidateSelector } from "./candidate_selector.ts";
import { WorkerCoordinator } from "./worker_coordinator.ts";
import { keeperChart } from "./keeper_chart.ts";
import type { KeeperEffect } from "./keeper_effect.ts";
import type { KeeperEvent } from "./keeper_event.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import type { KeeperState } from "./keeper_state.ts";
import { CandidatePledges } from "./candidate_pledges.ts";
import type { RecordHead } from "./record_head.ts";
import { SnapshotProposer } from "./snapshot_proposer.ts";

type Effects = Generator<KeeperEffect, void>;

/** Candidates campaign this far apart, in takeover order. */
const campaignStaggerMs = 400;
/** How long a process that is not a candidate waits before it checks again. */
const ineligibleRetryMs = 3_000;
/**
 * After this time without the log, the keeper asks its candidates to check
 * whether they reach it, so that one of them can take over.
 */
const logLossTimeoutMs = 5_000;

/**
 * Decides for one cell which process is its keeper, which tasks run where, and
 * which leases are renewed or reclaimed. Handles events and yields effects. The
 * clock behind `nowMs` must be monotonic.
 */
export class Keeper {
  ledger = new CellLedger();
  state: KeeperState = keeperChart.initial;
  readonly coordinator: WorkerCoordinator;
  readonly #authority: LeaseAuthority;
  readonly #pledges: CandidatePledges;
  readonly #candidates: CandidateSelector;
  readonly #snapshots: SnapshotProposer;
  #isAppending = false;
  #isReading = false;
  #isCaughtUp = false;
  #readAtMs = -Infinity;
  #flushedAtMs = -Infinity;
  #keepAliveSentAtMs = -Infinity;

  constructor(
    readonly options: KeeperOptions,
    placer: Placer,
    readonly wallClock: () => number,
    startedAtMs: number,
  ) {
    this.coordinator = new WorkerCoordinator(options, placer);
    this.#authority = new LeaseAuthority(options.lease);
    this.#pledges = new CandidatePledges(options.lease, startedAtMs);
    this.#candidates = new CandidateSelector(options);
    this.#candidates.monitor.reset(startedAtMs);
    this.#snapshots = new SnapshotProposer(options, startedAtMs);
  }

  /** Whether this process is the cell's keeper, as far as it knows. */
  get isKeeper(): boolean {
    return this.state === "settling" || this.state === "keeping";
  }

  /** Handles a keep-alive; returns the pledge's length, or 0 for none. */
  hearKeepAlive(epoch: number, withoutLog: boolean, nowMs: number): number {
    if (this.isKeeper || this.state === "claiming") return 0;
    return this.#pledges.handleKeepAlive(epoch, withoutLog, nowMs);
  }

  /** Whether leases may be granted now. */
  mayGrant(nowMs: number): boolean {
    return this.isKeeper &&
      this.#authority.holds(this.#candidates.others(this.ledger), nowMs);
  }

  /** Handles one event and yields its effects. */
  *handle(event: KeeperEvent, nowMs: number): Effects {
    yield* this.#apply(event, nowMs);
    yield* this.#advance(event, nowMs);
  }

  *#apply(event: KeeperEvent, nowMs: number): Effects {
    switch (event.kind) {
      case "read":
        yield* this.#applyRead(event, nowMs);
        break;
      case "read_failed":
        this.#isReading = false;
        break;
      case "reloaded":
        this.#isReading = false;
        this.ledger = event.ledger;
        this.#snapshots.coveredOffset = event.ledger.nextOffset;
        break;
      case "appended":
        yield* this.#applyAppended(event, nowMs);
        break;
      case "append_failed":
        yield* this.#applyAppendFailure();
        break;
      case "report":
        this.coordinator.handleReport(this.ledger, event, nowMs);
        break;
      case "unreachable":
        this.coordinator.handleUnreachable(event.worker);
        break;
      case "peers":
        this.#candidates.peers = event.peers;
        this.coordinator.workers = event.workers;
        if (this.isKeeper) {
          yield* this.coordinator.mitigate(this.ledger, event.latencies, nowMs);
        }
        break;
      case "pledged":
        this.#applyPledge(event, nowMs);
        break;
      case "woken":
        this.#readAtMs = -Infinity;
        break;
      case "tick":
        break;
    }
  }

  *#applyRead(
    event: Extract<KeeperEvent, { kind: "read" }>,
    nowMs: number,
  ): Effects {
    this.#isReading = false;
    this.#snapshots.oldestOffset = event.oldest;
    if (this.state === "following") this.#pledges.recordLogReached();
    const alreadyApplied = this.ledger.nextOffset - event.from;
    if (alreadyApplied < 0) return;
    for (const record of event.records.slice(alreadyApplied)) {
      const offset = this.ledger.nextOffset;
      const verdict = applyRecord(this.ledger, record);
      this.coordinator.handleRecord(this.ledger, record);
      yield verdict.accepted
        ? { kind: "verdict", offset, record }
        : { kind: "verdict", offset, record, voidReason: verdict.reason };
      const isEpoch = record.kind === "epoch" && verdict.accepted;
      if (isEpoch) yield* this.#applyEpoch(nowMs);
    }
    this.#isCaughtUp = event.reachedEnd;
    if (!event.reachedEnd) this.#readAtMs = -Infinity;
    if (event.reachedEnd) this.#authority.recordHeadRead(event.startedAtMs);
  }

  /** An append right after the last read record counts as a read to the end. */
  *#applyAppended(
    event: Extract<KeeperEvent, { kind: "appended" }>,
    nowMs: number,
  ): Effects {
    this.#isAppending = false;
    this.#isCaughtUp = false;
    this.#readAtMs = -Infinity;
    if (event.first !== this.ledger.nextOffset) return;
    const { startedAtMs, first: from, records } = event;
    const read = { kind: "read", startedAtMs, from, records } as const;
    const { oldestOffset: oldest } = this.#snapshots;
    yield* this.#applyRead({ ...read, reachedEnd: true, oldest }, nowMs);
    this.#readAtMs = nowMs;
  }

  *#applyEpoch(nowMs: number): Effects {
    const { epoch } = this.ledger;
    const isOwnEpoch = epoch?.keeper === this.options.self &&
      epoch.incarnation === this.options.incarnation;
    this.#candidates.monitor.reset(nowMs);
    if (!isOwnEpoch) {
      yield* this.#transition("EPOCH_LOST");
      this.#pledges.recordEpoch(epoch?.number ?? 0, nowMs);
      return;
    }
    if (this.isKeeper) return;
    this.coordinator.beginEpoch(nowMs);
    yield* this.#transition("EPOCH_WON");
  }

  *#applyAppendFailure(): Effects {
    this.#isAppending = false;
    this.#isCaughtUp = false;
    if (this.state === "claiming") yield* this.#transition("APPEND_FAILED");
  }

  #applyPledge(
    event: Extract<KeeperEvent, { kind: "pledged" }>,
    nowMs: number,
  ): void {
    const isPledge = event.pledgeMs >= this.options.lease.pledgeMs;
    this.#candidates.monitor.recordAnswer(event.candidate, isPledge, nowMs);
    if (isPledge) this.#authority.recordPledge(event.candidate, event.sentAtMs);
  }

  *#advance(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "following") yield* this.#watchKeeper(nowMs);
    if (this.state === "catching_up") yield* this.#campaign(nowMs);
    if (this.isKeeper) yield* this.#runAsKeeper(event, nowMs);
    if (this.state !== "following") yield* this.#readNext(nowMs);
  }

  *#watchKeeper(nowMs: number): Effects {
    if (this.#pledges.shouldProbeLog) yield* this.#readNext(nowMs);
    const rank = this.#candidates.takeoverRank();
    const silenceMs = this.options.lease.pledgeMs + rank * campaignStaggerMs;
    if (!this.#pledges.mayCampaign(silenceMs, nowMs)) return;
    this.#isCaughtUp = false;
    this.#readAtMs = -Infinity;
    yield* this.#transition("KEEPER_SILENT");
  }

  *#campaign(nowMs: number): Effects {
    if (this.#pledges.isActive(nowMs) || this.#pledges.heardRecently(nowMs)) {
      yield* this.#transition("KEEPER_HEARD");
      return;
    }
    if (!this.#isCaughtUp || this.#isAppending) return;
    const { epoch } = this.ledger;
    const { self } = this.options;
    const isEligible = epoch === undefined ||
      epoch.candidates.includes(self);
    if (!isEligible) {
      this.#pledges.postponeCampaign(nowMs + ineligibleRetryMs);
      yield* this.#transition("NOT_ELIGIBLE");
      return;
    }
    yield* this.#transition("CAUGHT_UP");
    this.#pledges.recordCampaign(epoch?.number ?? 0);
    yield* this.#append([this.#newEpoch(nowMs)]);
  }

  *#runAsKeeper(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "settling" && this.coordinator.isSettled(nowMs)) {
      yield* this.#transition("SETTLED");
    }
    yield* this.#keepAlive(nowMs);
    yield* this.#flush(event, nowMs);
    yield* this.coordinator.sync(this.ledger, this.mayGrant(nowMs), nowMs);
  }

  *#keepAlive(nowMs: number): Effects {
    if (nowMs - this.#keepAliveSentAtMs < this.options.keepAliveEveryMs) return;
    this.#keepAliveSentAtMs = nowMs;
    const epoch = this.ledger.epoch?.number ?? 0;
    const withoutLog = this.#authority.headReadAgeMs(nowMs) > logLossTimeoutMs;
    for (const candidate of this.#candidates.others(this.ledger)) {
      yield { kind: "keep_alive", candidate, epoch, withoutLog };
    }
  }

  *#flush(event: KeeperEvent, nowMs: number): Effects {
    if (this.#isAppending || !this.#isCaughtUp) return;
    if (!this.#isUrgent(event)) {
      if (nowMs - this.#flushedAtMs < this.options.flushEveryMs) return;
    }
    this.#flushedAtMs = nowMs;
    const records = [...this.#propose(nowMs)];
    if (records.length > 0) yield* this.#append(records);
  }

  /** While urgent tasks wait, a read or report need not wait for a flush. */
  #isUrgent(event: KeeperEvent): boolean {
    if (event.kind !== "read" && event.kind !== "report") return false;
    return this.ledger.urgentWaiting.size > 0;
  }

  *#propose(nowMs: number): Generator<CellRecord> {
    const head = this.#head();
    const { ledger } = this;
    const chosen = this.#candidates.choose(nowMs);
    if (this.#candidates.needsRenewal(ledger, chosen, nowMs)) {
      yield this.#newEpoch(nowMs);
      return;
    }
    const mayReclaim = this.state === "keeping";
    yield* this.coordinator.propose(ledger, mayReclaim, head, nowMs);
    yield* this.#snapshots.propose(ledger, head, nowMs);
  }

  #newEpoch(nowMs: number): CellRecord {
    const candidates = this.#candidates.choose(nowMs);
    return this.#candidates.buildEpochRecord(
      this.ledger,
      candidates,
      this.wallClock(),
    );
  }

  *#readNext(nowMs: number): Effects {
    if (this.#isReading || this.#isAppending) return;
    if (nowMs - this.#readAtMs < this.options.readEveryMs) return;
    this.#isReading = true;
    this.#readAtMs = nowMs;
    yield { kind: "read", from: this.ledger.nextOffset };
  }

  *#append(records: readonly CellRecord[]): Effects {
    this.#isAppending = true;
    yield { kind: "append", records };
  }

  *#transition(event: Parameters<typeof keeperChart.next>[1]): Effects {
    const next = keeperChart.next(this.state, event);
    if (next === undefined) return;
    this.state = next;
    yield { kind: "state", state: next };
  }

  #head(): RecordHead {
    const epoch = this.ledger.epoch?.number ?? 0;
    return { atMs: this.wallClock(), by: this.options.self, epoch };
  }
}
