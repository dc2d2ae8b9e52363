import { clockDrift } from "../core/clock/clock_drift.ts";
import { maxTransitMs } from "../core/clock/max_transit_ms.ts";
import { RunnerClock } from "./runner_clock.ts";

/** How long after a lease has ended its runs are certainly gone. */
const lapseMarginMs = 300;
/** How many reports may await their renewal. */
const maxOpenReports = 64;

/**
 * The lease of a runner, measured on the runner's own clock. It ends at most
 * `maxHoldMs` after the last report that a keeper has answered was sent. So a
 * keeper that has answered no report for that long knows that the lease ended.
 */
export class RunnerLease {
  readonly clock = new RunnerClock();
  /** The end that the keeper allows, on the runner's clock. */
  endClockMs: number | undefined;
  /** The latest end that was put into a call. */
  #grantedClockMs = 0;
  /** The lower bound of the runner's clock when each report was sent. */
  readonly #reports = new Map<number, number>();
  /**
   * The latest local time at which a lease that is not known here may end: one
   * granted by an earlier incarnation of this process, or one that came with a
   * start that reached a new life of the runner. Either may have been under way.
   */
  #unknownLeaseUntilMs: number;

  constructor(readonly maxHoldMs: number, readonly startedAtMs: number) {
    this.#unknownLeaseUntilMs = this.latestEndFrom(startedAtMs) + maxTransitMs;
  }

  /** Starts over, for a new life of the runner. */
  reset(nowMs: number): void {
    this.clock.reset();
    this.#unknownLeaseUntilMs = this.latestEndFrom(nowMs) + maxTransitMs;
    this.#reports.clear();
    this.endClockMs = undefined;
    this.#grantedClockMs = 0;
  }

  /** Records that a report was sent while the runner was up. */
  recordReport(number: number, nowMs: number): void {
    this.#reports.set(number, this.clock.lowestReadingAt(nowMs));
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > maxOpenReports && oldest !== undefined) {
      this.#reports.delete(oldest);
    }
  }

  /** Renews the lease: the elected keeper has answered the report. */
  renew(number: number): void {
    const clockMs = this.#reports.get(number);
    if (clockMs === undefined) return;
    for (const earlier of this.#reports.keys()) {
      if (earlier <= number) this.#reports.delete(earlier);
    }
    const untilMs = Math.floor(clockMs + this.maxHoldMs);
    this.endClockMs = Math.max(this.endClockMs ?? 0, untilMs);
  }

  /** Returns the end to put into a call, and records it as granted. */
  grant(): number | undefined {
    this.#grantedClockMs = Math.max(
      this.#grantedClockMs,
      this.endClockMs ?? 0,
    );
    return this.endClockMs;
  }

  /**
   * The same for a poll, if the known life answered the one before: a next life
   * would take it for a lease of its own.
   */
  grantIf(hasAnswered: boolean): number | undefined {
    return hasAnswered ? this.grant() : undefined;
  }

  /**
   * Whether the runner may hold a lease that is not known here, and so a start
   * that came with it.
   */
  mayBeUnknown(nowMs: number): boolean {
    return nowMs <= this.#unknownLeaseUntilMs;
  }

  /** Returns when a lease granted at a local time has certainly ended. */
  latestEndFrom(nowMs: number): number {
    return nowMs + this.maxHoldMs / (1 - clockDrift) + lapseMarginMs;
  }

  /** Whether every lease that the runner may hold has certainly ended. */
  hasLapsed(nowMs: number): boolean {
    const passedAtMs = this.clock.passedByMs(this.#grantedClockMs) +
      lapseMarginMs;
    return nowMs > passedAtMs && !this.mayBeUnknown(nowMs);
  }
}
