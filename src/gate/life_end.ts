import type { RunTracker } from "./run_tracker.ts";
import type { RunnerHealth } from "./runner_health.ts";
import type { RunnerLease } from "./runner_lease.ts";

/** Tells when nothing runs in a life of the runner any more. */
export class LifeEnd {
  /** Whether a next life of the runner has answered. */
  hasNextLife = false;
  #hasLeft = false;
  #isTold = false;

  constructor(
    readonly health: RunnerHealth,
    readonly lease: RunnerLease,
    readonly tracker: RunTracker,
  ) {}

  /** Starts over, for a new life of the runner. */
  reset(): void {
    this.hasNextLife = false;
    this.#hasLeft = false;
    this.#isTold = false;
  }

  /** Records that the runner has announced its exit. */
  recordLeave(): void {
    this.#hasLeft = true;
    this.health.isUp = false;
  }

  /**
   * Whether nothing that was started here runs any more, or ever will. A next
   * life of the runner may have taken starts that were meant for this one.
   */
  hasLapsed(nowMs: number): boolean {
    if (this.health.isUp || this.hasNextLife) return false;
    return (this.#hasExited(nowMs) || this.lease.hasLapsed(nowMs)) &&
      this.tracker.abandonStarts();
  }

  /** Whether a runner that left is found to have ended, the first time. */
  isNewlyEnded(nowMs: number): boolean {
    if (!this.#hasLeft || this.#isTold) return false;
    this.#isTold = this.hasLapsed(nowMs);
    return this.#isTold;
  }

  /**
   * Whether the runner's process has exited. A refused connection alone does not
   * show that, since a partition may refuse it; and a start without answer could
   * be executed by a next life before its lease ends.
   */
  #hasExited(nowMs: number): boolean {
    return this.#hasLeft && this.health.isGone &&
      !this.tracker.unanswered.hasAny(nowMs);
  }
}
