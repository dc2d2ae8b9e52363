import { applyRecord } from "../fold/apply_record.ts";
import { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { Authority } from "../lease/authority.ts";
import type { Placer } from "../place/placer.ts";
import { Candidacy } from "./candidacy.ts";
import { CellOffice } from "./cell_office.ts";
import { keeperChart } from "./keeper_chart.ts";
import type { KeeperEffect } from "./keeper_effect.ts";
import type { KeeperEvent } from "./keeper_event.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import type { KeeperState } from "./keeper_state.ts";
import { PledgeBook } from "./pledge_book.ts";
import type { RecordHead } from "./record_head.ts";
import { Restatement } from "./restatement.ts";

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
  readonly office: CellOffice;
  readonly #authority: Authority;
  readonly #pledges: PledgeBook;
  readonly #candidates: Candidacy;
  readonly #snapshots: Restatement;
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
    this.office = new CellOffice(options, placer);
    this.#authority = new Authority(options.lease);
    this.#pledges = new PledgeBook(options.lease, startedAtMs);
    this.#candidates = new Candidacy(options);
    this.#candidates.watch.reset(startedAtMs);
    this.#snapshots = new Restatement(options, startedAtMs);
  }

  /** Whether this process is the cell's keeper, as far as it knows. */
  get isKeeper(): boolean {
    return this.state === "settling" || this.state === "keeping";
  }

  /** Handles a keep-alive; returns the pledge's length, or 0 for none. */
  hearKeepAlive(epoch: number, withoutLog: boolean, nowMs: number): number {
    if (this.isKeeper || this.state === "claiming") return 0;
    return this.#pledges.hear(epoch, withoutLog, nowMs);
  }

  /** Whether leases may be granted now. */
  holdsAuthority(nowMs: number): boolean {
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
        this.#snapshots.covered = event.ledger.next;
        break;
      case "appended":
        yield* this.#applyAppended(event, nowMs);
        break;
      case "append_failed":
        yield* this.#applyAppendFailure();
        break;
      case "report":
        this.office.takeReport(this.ledger, event, nowMs);
        break;
      case "unreachable":
        this.office.missed(event.worker);
        break;
      case "peers":
        this.#candidates.peers = event.peers;
        this.office.workers = event.workers;
        if (this.isKeeper) {
          yield* this.office.relieve(this.ledger, event.loads, nowMs);
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
    this.#snapshots.oldest = event.oldest;
    if (this.state === "following") this.#pledges.decline();
    const alreadyApplied = this.ledger.next - event.from;
    if (alreadyApplied < 0) return;
    for (const record of event.records.slice(alreadyApplied)) {
      const offset = this.ledger.next;
      const verdict = applyRecord(this.ledger, record);
      this.office.settle(this.ledger, record);
      yield verdict.accepted
        ? { kind: "verdict", offset, record }
        : { kind: "verdict", offset, record, void: verdict.reason };
      const isEpoch = record.kind === "epoch" && verdict.accepted;
      if (isEpoch) yield* this.#applyEpoch(nowMs);
    }
    this.#isCaughtUp = event.atEnd;
    if (!event.atEnd) this.#readAtMs = -Infinity;
    if (event.atEnd) this.#authority.readHead(event.startedAtMs);
  }

  /** An append right after the last read record counts as a read to the end. */
  *#applyAppended(
    event: Extract<KeeperEvent, { kind: "appended" }>,
    nowMs: number,
  ): Effects {
    this.#isAppending = false;
    this.#isCaughtUp = false;
    this.#readAtMs = -Infinity;
    if (event.first !== this.ledger.next) return;
    const { startedAtMs, first: from, records } = event;
    const read = { kind: "read", startedAtMs, from, records } as const;
    const { oldest } = this.#snapshots;
    yield* this.#applyRead({ ...read, atEnd: true, oldest }, nowMs);
    this.#readAtMs = nowMs;
  }

  *#applyEpoch(nowMs: number): Effects {
    const { epoch } = this.ledger;
    const isOwnEpoch = epoch?.keeper === this.options.self &&
      epoch.incarnation === this.options.incarnation;
    this.#candidates.watch.reset(nowMs);
    if (!isOwnEpoch) {
      yield* this.#transition("EPOCH_LOST");
      this.#pledges.saw(epoch?.number ?? 0, nowMs);
      return;
    }
    if (this.isKeeper) return;
    this.office.begin(nowMs);
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
    this.#candidates.watch.answered(event.candidate, isPledge, nowMs);
    if (isPledge) this.#authority.pledged(event.candidate, event.sentAtMs);
  }

  *#advance(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "following") yield* this.#watchKeeper(nowMs);
    if (this.state === "catching_up") yield* this.#campaign(nowMs);
    if (this.isKeeper) yield* this.#runAsKeeper(event, nowMs);
    if (this.state !== "following") yield* this.#readNext(nowMs);
  }

  *#watchKeeper(nowMs: number): Effects {
    if (this.#pledges.wantsProbe) yield* this.#readNext(nowMs);
    const rank = this.#candidates.rank();
    const silenceMs = this.options.lease.pledgeMs + rank * campaignStaggerMs;
    if (!this.#pledges.isSilent(silenceMs, nowMs)) return;
    this.#isCaughtUp = false;
    this.#readAtMs = -Infinity;
    yield* this.#transition("KEEPER_SILENT");
  }

  *#campaign(nowMs: number): Effects {
    if (this.#pledges.isBound(nowMs) || this.#pledges.heardLately(nowMs)) {
      yield* this.#transition("KEEPER_HEARD");
      return;
    }
    if (!this.#isCaughtUp || this.#isAppending) return;
    const { epoch } = this.ledger;
    const { self } = this.options;
    const isEligible = epoch === undefined ||
      epoch.candidates.includes(self);
    if (!isEligible) {
      this.#pledges.holdOff(nowMs + ineligibleRetryMs);
      yield* this.#transition("NOT_ELIGIBLE");
      return;
    }
    yield* this.#transition("CAUGHT_UP");
    this.#pledges.trying(epoch?.number ?? 0);
    yield* this.#append([this.#newEpoch(nowMs)]);
  }

  *#runAsKeeper(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "settling" && this.office.isSettled(nowMs)) {
      yield* this.#transition("SETTLED");
    }
    yield* this.#keepAlive(nowMs);
    yield* this.#flush(event, nowMs);
    yield* this.office.sync(this.ledger, this.holdsAuthority(nowMs), nowMs);
  }

  *#keepAlive(nowMs: number): Effects {
    if (nowMs - this.#keepAliveSentAtMs < this.options.keepAliveEveryMs) return;
    this.#keepAliveSentAtMs = nowMs;
    const epoch = this.ledger.epoch?.number ?? 0;
    const withoutLog = this.#authority.readAgeMs(nowMs) > logLossTimeoutMs;
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
    yield* this.office.propose(ledger, mayReclaim, head, nowMs);
    yield* this.#snapshots.propose(ledger, head, nowMs);
  }

  #newEpoch(nowMs: number): CellRecord {
    const candidates = this.#candidates.choose(nowMs);
    return this.#candidates.epochRecord(
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
    yield { kind: "read", from: this.ledger.next };
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
