import { maxLatenessMs } from "../core/clock/max_lateness_ms.ts";
import { predecessorSettledMs } from "../core/clock/predecessor_settled_ms.ts";
import { maxTransitMs } from "../core/clock/max_transit_ms.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { RunTracker } from "./run_tracker.ts";
import type { RunnerHealth } from "./runner_health.ts";
import type { RunnerLease } from "./runner_lease.ts";

const maxLivesBefore = 16;

/** Tells when nothing runs in a life of the runner any more. */
export class LifeEnd {
  /**
   * Until when a next life that has answered, and of which no heartbeat has come
   * yet, may run what was meant for this one.
   */
  #nextLifeUntilMs: number | undefined;
  /** When a next life last answered. */
  #nextLifeSeenAtMs = -Infinity;
  /** The lives that ended before this one, the newest last. */
  livesBefore: readonly RunnerLife[] = [];
  #life: RunnerLife | undefined;
  /** Whether the runner has announced its exit. */
  hasLeft = false;
  #isTold = false;
  #isToldAsSettled = false;

  constructor(
    readonly health: RunnerHealth,
    readonly lease: RunnerLease,
    readonly tracker: RunTracker,
  ) {}

  /** Starts over, for a new life of the runner. */
  reset(life: RunnerLife): void {
    const before = this.#life === undefined ? [] : [this.#life];
    this.livesBefore = [...this.livesBefore, ...before].slice(-maxLivesBefore);
    this.#life = life;
    this.#nextLifeUntilMs = undefined;
    this.#nextLifeSeenAtMs = -Infinity;
    this.hasLeft = false;
    this.#isTold = false;
    this.#isToldAsSettled = false;
  }

  /** Records the reading of the runner's clock in the answer to a call. */
  recordReading(clockMs: number, sentAtMs: number, nowMs: number): void {
    const { clock } = this.lease;
    if (clock.isOfNextLife(clockMs, sentAtMs)) this.recordNextLife(nowMs);
    else clock.applyReading(clockMs, nowMs);
  }

  /** Whether an answer to an earlier poll has come after one of a next life. */
  isOutdated(pollSentAtMs: number): boolean {
    return pollSentAtMs <= this.#nextLifeSeenAtMs;
  }

  /** Records that a next life has answered a call. */
  recordNextLife(nowMs: number): void {
    this.#nextLifeSeenAtMs = nowMs;
    this.#extendNextLife(nowMs);
  }

  #extendNextLife(nowMs: number): void {
    this.#nextLifeUntilMs = Math.max(
      this.#nextLifeUntilMs ?? 0,
      this.lease.latestEndFrom(nowMs),
    );
  }

  /** Records that this life has answered a poll that was sent at that time. */
  recordKnownLife(pollSentAtMs: number): void {
    this.#nextLifeUntilMs = undefined;
    this.tracker.unconfirmed.confirm(pollSentAtMs);
  }

  /** Records a failed poll, which may have extended a next life's lease. */
  recordFailure(failure: string, nowMs: number): void {
    const isUnsent = failure === "refused" || failure === "unreached";
    if (this.#nextLifeUntilMs === undefined || isUnsent) return;
    const lateMs = failure === "unknown" ? maxLatenessMs : 0;
    this.#extendNextLife(nowMs + lateMs);
  }

  /** Records that the runner has announced its exit. */
  recordLeave(): void {
    this.hasLeft = true;
    this.health.isUp = false;
  }

  /**
   * Whether nothing that was started here runs any more, or ever will. A next
   * life of the runner may have taken starts that were meant for this one.
   */
  hasLapsed(nowMs: number): boolean {
    if (this.health.isUp) return false;
    if (!this.#hasExited(nowMs) && !this.lease.hasLapsed(nowMs)) return false;
    return this.tracker.abandonStarts() && !this.#mayRunInNextLife(nowMs);
  }

  /** The part of a report about whether the runner answers, and has ended. */
  report(nowMs: number) {
    const { isUp, isGone } = this.health;
    const isPredecessorSettled = this.isPredecessorSettled(nowMs);
    const isLapsed = this.hasLapsed(nowMs);
    return { isUp, isGone, isPredecessorSettled, isLapsed };
  }

  /** Whether no start of an earlier process of the sidecar is under way. */
  isPredecessorSettled(nowMs: number): boolean {
    return nowMs - this.lease.startedAtMs > predecessorSettledMs;
  }

  /**
   * Whether a runner that left is found to have ended, the first time, and again
   * once no start of an earlier process is under way.
   */
  isNewlyEnded(nowMs: number): boolean {
    const isSettled = this.isPredecessorSettled(nowMs);
    const isTold = isSettled ? this.#isToldAsSettled : this.#isTold;
    if (!this.hasLeft || isTold || !this.hasLapsed(nowMs)) return false;
    this.#isTold = true;
    this.#isToldAsSettled = isSettled;
    return true;
  }

  #mayRunInNextLife(nowMs: number): boolean {
    const { lastAtMs } = this.tracker.unconfirmed;
    if (lastAtMs !== undefined) {
      const untilMs = this.lease.latestEndFrom(lastAtMs) + maxTransitMs;
      if (nowMs <= untilMs) return true;
    }
    return this.#nextLifeUntilMs !== undefined &&
      (nowMs <= this.#nextLifeUntilMs || this.tracker.unanswered.hasAny(nowMs));
  }

  /**
   * Whether the runner's process has exited. A refused connection alone does not
   * show that, since a partition may refuse it; and a start without answer could
   * be executed by a next life before its lease ends.
   */
  #hasExited(nowMs: number): boolean {
    return this.hasLeft && this.health.isGone &&
      !this.tracker.unanswered.hasAny(nowMs);
  }
}
