import type { Clock } from "../core/clock/clock.ts";
import type { Store } from "../core/store/store.ts";
import { AppendLoop } from "./append_loop.ts";
import { nextBatch } from "./next_batch.ts";
import type { OutageMonitor } from "./outage_monitor.ts";
import type { UncertainKeys } from "./uncertain_keys.ts";
import type { WaitingRow } from "./waiting_row.ts";

/** The size of an append's rows: half of what the store accepts in a call. */
const maxBatchBytes = 1_000_000;
const appendTimeoutMs = 1_000;
/** After an append without an answer; shorter than most callers' hold bound. */
const probeTimeoutMs = 500;
const retryPauseMs = 15;
/** The pause while the store is known to be away. */
const outagePauseMs = 100;
/** Appends that fail for longer are no passing fault. */
const turnedAwayAfterMs = 300;
/**
 * An append is stalled after this time without any answer of the store. An
 * entry reads every 200 ms, and a keeper appends every 400 ms.
 */
const stalledAfterMs = 450;
/** The interval of checks whether an append in an outage is overtaken. */
const recheckMs = 25;
/** While appends fail, one new row per interval is let through. */
const probeIntervalMs = 250;

type Outcome = "stored" | "failed" | "rejected" | "unknown";

interface Parts {
  readonly store: Store;
  readonly stream: string;
  readonly monitor: OutageMonitor;
  readonly clock: Clock;
  readonly waiting: ReadonlySet<WaitingRow>;
  readonly uncertain: UncertainKeys;
  readonly onStored: (row: WaitingRow) => void;
  /** The store rejects the row itself. */
  readonly onRejected: (row: WaitingRow) => void;
  /** An append has ended. */
  readonly onAnswer: () => void;
}

/**
 * Appends the waiting rows, joined in the order of their first attempts. A row
 * that is too large, or was rejected together with others, is appended alone,
 * and its failure does not delay the others.
 */
export class RowAppender {
  readonly #joined: AppendLoop;
  readonly #alone: AppendLoop;
  /** When the last joined append failed; undefined if it succeeded. */
  #failedAtMs: number | undefined;
  #isUnanswered = false;
  /** When the joined append in flight was sent. */
  #sentAtMs: number | undefined;
  /** Since when appends fail although the store answers other calls. */
  #turnedAwaySinceMs: number | undefined;

  constructor(readonly parts: Parts) {
    const { clock } = parts;
    this.#joined = new AppendLoop(
      () => this.#nextJoined(),
      (batch) => this.#appendJoined(batch),
      clock,
    );
    this.#alone = new AppendLoop(
      () => this.#ready().filter(({ goesAlone }) => goesAlone).slice(0, 1),
      (batch) => this.#appendAlone(batch),
      clock,
    );
  }

  isOversized(bytes: number): boolean {
    return bytes > maxBatchBytes;
  }

  /** Appends the rows that are ready, and retries those that failed. */
  run(): void {
    void this.#joined.run();
    void this.#alone.run();
  }

  /**
   * Whether an append now would fail although no outage is known: appends keep
   * failing while the store answers other calls, or one is stalled.
   */
  isTurnedAway(nowMs: number): boolean {
    const { monitor, waiting } = this.parts;
    const sentAtMs = this.#sentAtMs ?? nowMs;
    if (
      nowMs - sentAtMs >= stalledAfterMs && !monitor.hasAnsweredSince(sentAtMs)
    ) return true;
    if (monitor.state.scope !== "none") this.#turnedAwaySinceMs = undefined;
    if (
      this.#turnedAwaySinceMs === undefined ||
      nowMs - this.#turnedAwaySinceMs < turnedAwayAfterMs
    ) return false;
    return waiting.size > 0 ||
      nowMs - (this.#failedAtMs ?? -Infinity) < probeIntervalMs;
  }

  /** Records that the store has stored a row. */
  recordSuccess(): void {
    this.#failedAtMs = undefined;
    this.#isUnanswered = false;
    this.#turnedAwaySinceMs = undefined;
  }

  #recordFailure(isUnanswered: boolean): void {
    const nowMs = this.parts.clock.nowMs();
    this.#failedAtMs = nowMs;
    this.#isUnanswered = isUnanswered;
    this.#turnedAwaySinceMs ??= nowMs;
  }

  /**
   * The rows of the next joined append. After an append without answer it is
   * one row, if possible one that may have been stored already, so that the
   * others can still be refused.
   */
  #nextJoined(): readonly WaitingRow[] {
    const ready = this.#ready().filter(({ goesAlone }) => !goesAlone);
    if (!this.#isUnanswered) return nextBatch(ready, maxBatchBytes);
    const { uncertain } = this.parts;
    const probe = ready.find(({ row }) => uncertain.has(row.key)) ?? ready[0];
    return probe === undefined ? [] : [probe];
  }

  /**
   * The rows to append now, by first attempt. While the store is away, only
   * those that may have been stored are tried; the others wait until the
   * monitor's reads are answered, and can be refused until then.
   */
  #ready(): readonly WaitingRow[] {
    const { waiting, uncertain, monitor } = this.parts;
    const isAway = monitor.state.scope !== "none";
    return [...waiting]
      .filter(({ isSent, isWithdrawn }) => !isSent && !isWithdrawn)
      .filter(({ row }) => !isAway || uncertain.has(row.key))
      .sort((a, b) => a.firstAtMs - b.firstAtMs);
  }

  async #appendJoined(batch: readonly WaitingRow[]): Promise<number> {
    const { clock, monitor } = this.parts;
    const timeoutMs = this.#isUnanswered ? probeTimeoutMs : appendTimeoutMs;
    const wasAway = monitor.state.scope !== "none";
    const sentAtMs = clock.nowMs();
    this.#sentAtMs = sentAtMs;
    const append = this.#append(batch, timeoutMs);
    const outcome = wasAway
      ? await Promise.race([append, this.#storeReturns(sentAtMs)])
      : await append;
    this.#sentAtMs = undefined;
    if (outcome === "overtaken") {
      this.#isUnanswered = false;
      return 0;
    }
    if (outcome === "stored" || outcome === "rejected") this.recordSuccess();
    else this.#recordFailure(outcome === "unknown");
    this.parts.onAnswer();
    return this.#pauseMs(outcome);
  }

  /**
   * Resolves once the store answers calls that were sent after an append, whose
   * own answer is then unlikely to arrive; or once the append has ended.
   */
  async #storeReturns(sentAtMs: number): Promise<"overtaken"> {
    const { clock, monitor } = this.parts;
    const hasReturned = () => monitor.hasAnsweredSince(sentAtMs + recheckMs);
    do await clock.sleep(recheckMs); while (
      this.#sentAtMs === sentAtMs && !hasReturned()
    );
    return "overtaken";
  }

  async #appendAlone(batch: readonly WaitingRow[]): Promise<number> {
    const outcome = await this.#append(batch, appendTimeoutMs);
    this.parts.onAnswer();
    return this.#pauseMs(outcome);
  }

  #pauseMs(outcome: Outcome): number {
    if (outcome === "stored" || outcome === "rejected") return 0;
    const isAway = this.parts.monitor.state.scope !== "none";
    return isAway || outcome === "unknown" ? outagePauseMs : retryPauseMs;
  }

  async #append(
    batch: readonly WaitingRow[],
    timeoutMs: number,
  ): Promise<Outcome> {
    const { store, stream, waiting, uncertain, onStored } = this.parts;
    for (const row of batch) {
      row.isSent = true;
      uncertain.beginAppend(row.row.key);
    }
    const rows = batch.map(({ row }) => row);
    const guard = { kind: "none" } as const;
    const result = await store.append(stream, rows, guard, timeoutMs);
    const outcome = result.isOk ? "stored" : outcomeOf(result.error.kind);
    for (const row of batch) {
      row.isSent = false;
      const isFailed = outcome === "failed" || outcome === "rejected";
      const end = isFailed ? "failed" : outcome;
      uncertain.endAppend(row.row.key, end, this.parts.clock.nowMs());
      if (!waiting.has(row)) continue;
      if (outcome === "stored") onStored(row);
      else if (outcome === "rejected") this.#handleRejected(row);
    }
    return outcome;
  }

  /** One row of a batch causes its rejection, so each is then tried alone. */
  #handleRejected(row: WaitingRow): void {
    if (row.goesAlone) {
      this.parts.onRejected(row);
      return;
    }
    row.goesAlone = true;
    void this.#alone.run();
  }
}

function outcomeOf(kind: string): Outcome {
  return kind === "unknown" || kind === "rejected" ? kind : "failed";
}
