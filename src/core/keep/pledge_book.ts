import type { LeaseOptions } from "../lease/lease_options.ts";

/**
 * A candidate's promises not to take over. A process promises only in epochs
 * that began after its start and that it has not tried to end, since an append
 * of an earlier life or try may still take effect.
 */
export class PledgeBook {
  #firstEpoch: number | undefined;
  #triedAfter = -1;
  #heardEpoch = 0;
  #silentSinceMs: number;
  #pledgedUntilMs: number;

  constructor(readonly options: LeaseOptions, startedAtMs: number) {
    this.#silentSinceMs = startedAtMs;
    this.#pledgedUntilMs = startedAtMs + options.pledgeMs;
  }

  /** Whether the keeper is to be replaced, since it cannot reach the log. */
  #isDeclining = false;
  #isKeeperWithoutLog = false;

  /** Whether it would help to know if this process reaches the log. */
  get wantsProbe(): boolean {
    return this.#isKeeperWithoutLog && !this.#isDeclining;
  }

  /** This process reaches the log, and its keeper does not. */
  decline(): void {
    this.#isDeclining = this.#isKeeperWithoutLog;
  }

  /** Answers a keep-alive with the length of the promise; 0 is none. */
  hear(epoch: number, withoutLog: boolean, nowMs: number): number {
    this.#isKeeperWithoutLog = withoutLog;
    if (!withoutLog) this.#isDeclining = false;
    if (this.#isDeclining) return 0;
    this.#silentSinceMs = nowMs;
    this.#firstEpoch ??= epoch;
    this.#heardEpoch = Math.max(this.#heardEpoch, epoch);
    if (epoch <= this.#firstEpoch || epoch <= this.#triedAfter) return 0;
    this.#pledgedUntilMs = nowMs + this.options.pledgeMs;
    return this.options.pledgeMs;
  }

  /** The process is about to append the epoch that ends this one. */
  trying(epoch: number): void {
    this.#triedAfter = Math.max(this.#triedAfter, epoch);
  }

  /** A record in the log shows that the epoch has begun. */
  saw(epoch: number, nowMs: number): void {
    if (epoch <= this.#heardEpoch) return;
    this.#heardEpoch = epoch;
    this.holdOff(nowMs);
  }

  /** Puts off the next try. */
  holdOff(nowMs: number): void {
    this.#silentSinceMs = nowMs;
  }

  /** Whether the keeper has been silent that long and no promise stands. */
  isSilent(forMs: number, nowMs: number): boolean {
    return nowMs > this.#pledgedUntilMs && nowMs - this.#silentSinceMs > forMs;
  }

  /** Whether the keeper was heard within the length of a promise. */
  heardLately(nowMs: number): boolean {
    return nowMs - this.#silentSinceMs < this.options.pledgeMs;
  }

  /** Whether a promise stands. */
  isBound(nowMs: number): boolean {
    return nowMs <= this.#pledgedUntilMs;
  }
}
