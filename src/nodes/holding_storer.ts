import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Clock } from "../core/clock/clock.ts";
import { FirstAttempts } from "../core/outage/first_attempts.ts";
import { HoldPolicy } from "../core/outage/hold_policy.ts";
import { returnTimeMs } from "../core/outage/return_time_ms.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";
import type { CallerTime } from "./caller_time.ts";
import type { OutageMonitor } from "./outage_monitor.ts";
import type { RefusalReason } from "./refusal_reason.ts";
import { RowAppender } from "./row_appender.ts";
import type { RowStorer } from "./row_storer.ts";
import type { StoreOutcome } from "./store_outcome.ts";
import { UncertainKeys } from "./uncertain_keys.ts";
import type { WaitingRow } from "./waiting_row.ts";

const reviewIntervalMs = 10;
/** Callers count a refusal as late after a quarter of their time. */
const holdShare = 0.25;
/** For the refusal to arrive in that time; 20 ms are too few on a busy machine. */
const refusalMarginMs = 40;
/** The share of a caller's time for retries; another entry may use the rest. */
const retryShare = 0.5;
/** The return time where another entry can take the retry. */
const retryElsewhereMs = 1_000;

interface Parts {
  readonly store: Store;
  readonly stream: string;
  readonly monitor: OutageMonitor;
  /** Whether the store is known to hold a row of the key. */
  readonly isStored: (key: string) => boolean;
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly log: Logger;
}

/**
 * Stores callers' rows in the order of their first attempts. Handles outages of
 * the store: a row that will be stored within its hold bound waits and is
 * stored with the first append after the outage; the others are refused at
 * once. A row is refused only if no append that may yet take effect has
 * contained it.
 */
export class HoldingStorer implements RowStorer {
  readonly #waiting = new Set<WaitingRow>();
  #waitingBytes = 0;
  readonly #uncertain = new UncertainKeys();
  readonly #firstAttempts = new FirstAttempts();
  readonly #policy = new HoldPolicy();
  #isReviewing = false;
  readonly #appender: RowAppender;

  constructor(readonly parts: Parts) {
    this.#appender = new RowAppender({
      ...parts,
      waiting: this.#waiting,
      uncertain: this.#uncertain,
      onStored: (row) => this.#settle(row, { kind: "stored" }),
      onRejected: (row) => this.#refuse(row, "store_refusal"),
      onAnswer: () => this.#reviewAll(),
    });
  }

  mayHaveStored(key: string): boolean {
    return this.#uncertain.has(key);
  }

  mayStillStore(key: string): boolean {
    return this.#uncertain.mayStillStore(key, this.parts.clock.nowMs());
  }

  async store(row: Row, time: CallerTime): Promise<StoreOutcome> {
    return await new Promise<StoreOutcome>((done) => {
      const bytes = sizeOf(row);
      const firstAtMs = this.#firstAttempts.firstAtMs(
        row.key,
        time.arrivedAtMs,
      );
      this.#accept({
        row,
        bytes,
        time,
        firstAtMs,
        isSent: false,
        goesAlone: this.#appender.isOversized(bytes),
        isWithdrawn: false,
        heldAtMs: undefined,
        done,
      });
    });
  }

  #accept(row: WaitingRow): void {
    const { signal } = row.time;
    const { state } = this.parts.monitor;
    if (state.scope !== "none") {
      this.#firstAttempts.note(row.row.key, row.firstAtMs);
    }
    if (signal.aborted) {
      this.#refuse(row, "withdrawn");
      return;
    }
    if (!this.#holdOrRefuse(row)) return;
    this.#waiting.add(row);
    this.#waitingBytes += row.bytes;
    signal.addEventListener("abort", () => this.#withdraw(row), { once: true });
    this.#appender.run();
    void this.#reviewUntilEmpty();
  }

  /** Applies the policy to a row; returns whether the row may wait. */
  #holdOrRefuse(row: WaitingRow): boolean {
    if (row.heldAtMs !== undefined) return true;
    const { monitor, clock, log } = this.parts;
    const outage = monitor.state;
    const nowMs = clock.nowMs();
    const isWaiting = this.#waiting.has(row);
    const holdMs = holdUntilMs(row) - nowMs;
    const choice = this.#policy.choose({
      outage,
      isTurnedAway: this.#appender.isTurnedAway(nowMs),
      holdMs,
      leftMs: leftMs(row, nowMs),
      mayBeStored: this.#uncertain.has(row.row.key),
      bytes: isWaiting ? 0 : row.bytes,
      waiting: isWaiting ? 0 : this.#waiting.size,
      waitingBytes: isWaiting ? 0 : this.#waitingBytes,
    });
    if (choice.kind === "refuse") {
      this.#refuse(row, choice.reason);
      return false;
    }
    if (choice.kind === "hold") {
      row.heldAtMs = nowMs;
      monitor.count("held");
      log.info("submission_held", {
        key: row.row.key,
        outageMs: Math.round(outage.ageMs),
        forecastMs: Math.round(outage.remainingMs),
        holdMs: Math.round(holdMs),
      });
    }
    return true;
  }

  async #reviewUntilEmpty(): Promise<void> {
    if (this.#isReviewing) return;
    this.#isReviewing = true;
    while (this.#waiting.size > 0) {
      await this.parts.clock.sleep(reviewIntervalMs);
      this.#reviewAll();
      this.#appender.run();
    }
    this.#isReviewing = false;
  }

  #reviewAll(): void {
    for (const row of this.#waiting) this.#review(row);
  }

  /** Ends a row's wait if its time is over or its outcome is known. */
  #review(row: WaitingRow): void {
    const { arrivedAtMs, withinMs } = row.time;
    const nowMs = this.parts.clock.nowMs();
    const waitedMs = nowMs - arrivedAtMs;
    if (this.#uncertain.has(row.row.key)) {
      const share = row.isSent ? 1 : retryShare;
      if (this.parts.isStored(row.row.key)) this.#confirm(row);
      else if (waitedMs >= withinMs * share || row.isWithdrawn && !row.isSent) {
        this.#settle(row, { kind: "unknown" });
      }
    } else if (row.isWithdrawn) this.#refuse(row, "withdrawn");
    else if (nowMs >= holdUntilMs(row)) {
      this.#refuse(row, "hold_expired");
    } else this.#holdOrRefuse(row);
  }

  /** Settles a row of which an unanswered append has been seen in the store. */
  #confirm(row: WaitingRow): void {
    this.#appender.recordSuccess();
    this.#settle(row, { kind: "stored" });
  }

  #withdraw(row: WaitingRow): void {
    row.isWithdrawn = true;
    if (this.#waiting.has(row) && !row.isSent) this.#review(row);
  }

  /** Refuses a row, unless it may have been stored. */
  #refuse(row: WaitingRow, reason: RefusalReason): void {
    const { key } = row.row;
    const { monitor, clock, log, metrics, isStored } = this.parts;
    if (isStored(key)) return this.#settle(row, { kind: "stored" });
    if (this.#uncertain.has(key)) return this.#settle(row, { kind: "unknown" });
    const outage = monitor.state;
    const nowMs = clock.nowMs();
    const retryAfterMs = outage.scope === "full"
      ? returnTimeMs(key, outage.remainingMs, leftMs(row, nowMs))
      : retryElsewhereMs;
    if (reason !== "withdrawn") this.#firstAttempts.note(key, row.firstAtMs);
    monitor.count("refused");
    metrics.count("refusals", { reason });
    log.info("submission_refused", {
      key,
      reason,
      scope: outage.scope,
      outageMs: Math.round(outage.ageMs),
      forecastMs: Math.round(outage.remainingMs),
      waitedMs: Math.round(nowMs - row.time.arrivedAtMs),
      retryAfterMs,
    });
    this.#settle(row, { kind: "refused", reason, retryAfterMs });
  }

  #settle(row: WaitingRow, outcome: StoreOutcome): void {
    const { clock, metrics, monitor } = this.parts;
    if (this.#waiting.delete(row)) this.#waitingBytes -= row.bytes;
    if (outcome.kind === "stored") this.#firstAttempts.forget(row.row.key);
    if (row.heldAtMs !== undefined) {
      metrics.count("submissions_held", { outcome: outcome.kind });
      metrics.recordHold(clock.nowMs() - row.heldAtMs);
      if (outcome.kind === "stored") monitor.count("stored");
    }
    row.done(outcome);
  }
}

function holdUntilMs({ time }: WaitingRow): number {
  return time.arrivedAtMs + time.deadlineMs * holdShare - refusalMarginMs;
}

function leftMs({ time }: WaitingRow, nowMs: number): number {
  return time.deadlineMs - (nowMs - time.arrivedAtMs);
}

function sizeOf({ key, value }: Row): number {
  return Buffer.byteLength(key) + Buffer.byteLength(value ?? "");
}
