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

/** The order in which candidates try to take over, one step apart. */
const rankStepMs = 400;
/** How long a process that may not take over waits before it looks again. */
const lookAgainMs = 3_000;
/** How long a keeper may miss the log before its candidates look for it. */
const withoutLogMs = 5_000;

/**
 * Decides for one cell: who keeps it, which tasks run where, and which leases
 * are renewed or reclaimed. Takes events and yields effects; the clock that it
 * is given must never run backwards.
 */
export class Keeper {
  ledger = new CellLedger();
  state: KeeperState = keeperChart.initial;
  readonly office: CellOffice;
  readonly #authority: Authority;
  readonly #pledges: PledgeBook;
  readonly #candidacy: Candidacy;
  readonly #restatement: Restatement;
  #appending = false;
  #reading = false;
  #caughtUp = false;
  #readAtMs = -Infinity;
  #flushedAtMs = -Infinity;
  #keptAliveAtMs = -Infinity;

  constructor(
    readonly options: KeeperOptions,
    placer: Placer,
    readonly wallClock: () => number,
    startedAtMs: number,
  ) {
    this.office = new CellOffice(options, placer);
    this.#authority = new Authority(options.lease);
    this.#pledges = new PledgeBook(options.lease, startedAtMs);
    this.#candidacy = new Candidacy(options);
    this.#candidacy.watch.reset(startedAtMs);
    this.#restatement = new Restatement(options, startedAtMs);
  }

  /** Whether this process is the cell's keeper, as far as it knows. */
  get isKeeper(): boolean {
    return this.state === "settling" || this.state === "keeping";
  }

  /** Answers a keep-alive of the cell's keeper with a pledge's length. */
  hearKeepAlive(epoch: number, withoutLog: boolean, nowMs: number): number {
    if (this.isKeeper || this.state === "claiming") return 0;
    return this.#pledges.hear(epoch, withoutLog, nowMs);
  }

  /** Whether leases may be granted now. */
  holdsAuthority(nowMs: number): boolean {
    return this.isKeeper &&
      this.#authority.holds(this.#candidacy.others(this.ledger), nowMs);
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
        this.#restatement.covered = event.ledger.next;
        break;
      case "appended":
        yield* this.#takeAppended(event, nowMs);
        break;
      case "append_failed":
        yield* this.#takeAppendFailure();
        break;
      case "report":
        this.office.takeReport(this.ledger, event, nowMs);
        break;
      case "unreachable":
        this.office.missed(event.worker);
        break;
      case "peers":
        this.#candidacy.peers = event.peers;
        this.office.workers = event.workers;
        if (this.isKeeper) {
          yield* this.office.relieve(this.ledger, event.loads, nowMs);
        }
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
    this.#restatement.oldest = event.oldest;
    if (this.state === "following") this.#pledges.decline();
    const skip = this.ledger.next - event.from;
    if (skip < 0) return;
    for (const record of event.records.slice(skip)) {
      const offset = this.ledger.next;
      const verdict = applyRecord(this.ledger, record);
      this.office.settle(this.ledger, record);
      yield verdict.accepted
        ? { kind: "verdict", offset, record }
        : { kind: "verdict", offset, record, void: verdict.reason };
      const isEpoch = record.kind === "epoch" && verdict.accepted;
      if (isEpoch) yield* this.#takeEpoch(nowMs);
    }
    this.#caughtUp = event.atEnd;
    if (!event.atEnd) this.#readAtMs = -Infinity;
    if (event.atEnd) this.#authority.readHead(event.startedAtMs);
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
    const { oldest } = this.#restatement;
    yield* this.#takeRead({ ...read, atEnd: true, oldest }, nowMs);
    this.#readAtMs = nowMs;
  }

  *#takeEpoch(nowMs: number): Effects {
    const { epoch } = this.ledger;
    const isMine = epoch?.keeper === this.options.self &&
      epoch.incarnation === this.options.incarnation;
    this.#candidacy.watch.reset(nowMs);
    if (!isMine) {
      yield* this.#step("EPOCH_LOST");
      this.#pledges.saw(epoch?.number ?? 0, nowMs);
      return;
    }
    if (this.isKeeper) return;
    this.office.begin(nowMs);
    yield* this.#step("EPOCH_WON");
  }

  *#takeAppendFailure(): Effects {
    this.#appending = false;
    this.#caughtUp = false;
    if (this.state === "claiming") yield* this.#step("APPEND_FAILED");
  }

  #takePledge(
    event: Extract<KeeperEvent, { kind: "pledged" }>,
    nowMs: number,
  ): void {
    const pledged = event.pledgeMs >= this.options.lease.pledgeMs;
    this.#candidacy.watch.answered(event.candidate, pledged, nowMs);
    if (pledged) this.#authority.pledged(event.candidate, event.sentAtMs);
  }

  *#act(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "following") yield* this.#follow(nowMs);
    if (this.state === "catching_up") yield* this.#catchUp(nowMs);
    if (this.isKeeper) yield* this.#keep(event, nowMs);
    if (this.state !== "following") yield* this.#readOn(nowMs);
  }

  *#follow(nowMs: number): Effects {
    if (this.#pledges.wantsProbe) yield* this.#readOn(nowMs);
    const rank = this.#candidacy.rank();
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
    yield* this.#append([this.#newEpoch(nowMs)]);
  }

  *#keep(event: KeeperEvent, nowMs: number): Effects {
    if (this.state === "settling" && this.office.isSettled(nowMs)) {
      yield* this.#step("SETTLED");
    }
    yield* this.#keepAlive(nowMs);
    yield* this.#flush(event, nowMs);
    yield* this.office.sync(this.ledger, this.holdsAuthority(nowMs), nowMs);
  }

  *#keepAlive(nowMs: number): Effects {
    if (nowMs - this.#keptAliveAtMs < this.options.keepAliveEveryMs) return;
    this.#keptAliveAtMs = nowMs;
    const epoch = this.ledger.epoch?.number ?? 0;
    const withoutLog = this.#authority.readAgeMs(nowMs) > withoutLogMs;
    for (const candidate of this.#candidacy.others(this.ledger)) {
      yield { kind: "keep_alive", candidate, epoch, withoutLog };
    }
  }

  *#flush(event: KeeperEvent, nowMs: number): Effects {
    if (this.#appending || !this.#caughtUp) return;
    if (!this.#isUrgent(event)) {
      if (nowMs - this.#flushedAtMs < this.options.flushEveryMs) return;
    }
    this.#flushedAtMs = nowMs;
    const records = [...this.#propose(nowMs)];
    if (records.length > 0) yield* this.#append(records);
  }

  /** Urgent work, and reports that make room for it, do not wait. */
  #isUrgent(event: KeeperEvent): boolean {
    if (event.kind !== "read" && event.kind !== "report") return false;
    return this.ledger.urgentWaiting.size > 0;
  }

  *#propose(nowMs: number): Generator<CellRecord> {
    const head = this.#head();
    const { ledger } = this;
    const chosen = this.#candidacy.choose(nowMs);
    if (this.#candidacy.needsRenewal(ledger, chosen, nowMs)) {
      yield this.#newEpoch(nowMs);
      return;
    }
    const mayReclaim = this.state === "keeping";
    yield* this.office.propose(ledger, mayReclaim, head, nowMs);
    yield* this.#restatement.propose(ledger, head, nowMs);
  }

  #newEpoch(nowMs: number): CellRecord {
    const candidates = this.#candidacy.choose(nowMs);
    return this.#candidacy.epochRecord(
      this.ledger,
      candidates,
      this.wallClock(),
    );
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

  #head(): RecordHead {
    const epoch = this.ledger.epoch?.number ?? 0;
    return { atMs: this.wallClock(), by: this.options.self, epoch };
  }
}
