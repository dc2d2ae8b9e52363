import { RunnerClock } from "./runner_clock.ts";

/** How far a lease must have passed before its runs count as gone. */
const lapseMarginMs = 300;
/** A runner's clock may be slow by this part. */
const drift = 0.02;
/** Reports whose renewal may still come. */
const mostOpenReports = 64;

/**
 * The lease of a runner. It is measured on the runner's own clock and ends at
 * most `maxHoldMs` after the report that a keeper has answered was sent, so
 * that a keeper which has answered nothing for that long knows it has run out.
 */
export class RunnerLease {
  readonly clock = new RunnerClock();
  /** Up to when the runner may be told to hold on, on its clock. */
  untilClockMs: number | undefined;
  /** The latest end that any call may have set. */
  #grantedClockMs = 0;
  /** The least that the runner's clock showed when each report was sent. */
  readonly #reports = new Map<number, number>();
  /**
   * Until then a lease may last that is not known here: of an earlier life of
   * this process, or of a start that reached a new life of the runner.
   */
  #earlierUntilMs: number;

  constructor(readonly maxHoldMs: number, startedAtMs: number) {
    this.#earlierUntilMs = this.#longestFrom(startedAtMs);
  }

  /** Forgets all, for a new life of the runner. */
  reset(nowMs: number): void {
    this.clock.reset();
    this.#earlierUntilMs = this.#longestFrom(nowMs);
    this.#reports.clear();
    this.untilClockMs = undefined;
    this.#grantedClockMs = 0;
  }

  /** A report goes out while the runner answers. */
  reported(number: number, nowMs: number): void {
    this.#reports.set(number, this.clock.leastAt(nowMs));
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > mostOpenReports && oldest !== undefined) {
      this.#reports.delete(oldest);
    }
  }

  /** A keeper in office has answered the report. */
  renewed(number: number): void {
    const clockMs = this.#reports.get(number);
    if (clockMs === undefined) return;
    for (const earlier of this.#reports.keys()) {
      if (earlier <= number) this.#reports.delete(earlier);
    }
    const untilMs = Math.floor(clockMs + this.maxHoldMs);
    this.untilClockMs = Math.max(this.untilClockMs ?? 0, untilMs);
  }

  /** The end to put into a call, noted as given. */
  grant(): number | undefined {
    this.#grantedClockMs = Math.max(
      this.#grantedClockMs,
      this.untilClockMs ?? 0,
    );
    return this.untilClockMs;
  }

  #longestFrom(nowMs: number): number {
    return nowMs + this.maxHoldMs / (1 - drift) + lapseMarginMs;
  }

  /** Whether all that any call may have set has surely passed. */
  hasLapsed(nowMs: number): boolean {
    const passedAtMs = this.clock.surelyPassedAt(this.#grantedClockMs) +
      lapseMarginMs;
    return nowMs > Math.max(passedAtMs, this.#earlierUntilMs);
  }
}
