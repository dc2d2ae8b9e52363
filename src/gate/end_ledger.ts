import type { RunEnd } from "../core/jobs/run_end.ts";

/** Shorter than any runner takes to end and begin its next life. */
const confirmationValidMs = 60;

/**
 * The ends of runs that a life of the runner lists, until the keeper has stored
 * them. End numbers begin anew in each life, and a poll may reach a life that
 * no heartbeat has shown yet. So the runner is told to forget ends only right
 * after an answer of the known life, and not again once it has confirmed that.
 */
export class EndLedger {
  /** The listed ends that are not stored yet. */
  ends: readonly RunEnd[] = [];
  /** Whether the runner lists all ends that it has not forgotten. */
  hasAll = true;
  /** When the life of the last heartbeat answered the newest poll, if it did. */
  #confirmedAtMs = -Infinity;
  /** The highest end number in a report. */
  #reportedUpTo = 0;
  /** The keeper has stored the ends up to this number. */
  #storedUpTo = 0;
  /** The runner has confirmed that it forgot the ends up to this number. */
  #forgottenUpTo = 0;

  /**
   * The number up to which a poll now lets ends be forgotten; 0 for none. One that
   * names a number must not wait: at a next life, ends could come meanwhile.
   */
  upToForPoll(nowMs: number): number {
    const isConfirmed = nowMs - this.#confirmedAtMs <= confirmationValidMs;
    const isNeeded = this.#storedUpTo > this.#forgottenUpTo;
    return isNeeded && isConfirmed ? this.#storedUpTo : 0;
  }

  /** Whether an end has come that no report holds. */
  get hasNew(): boolean {
    return (this.ends.at(-1)?.number ?? 0) > this.#reportedUpTo;
  }

  /** Records when the known life answered a poll with that number. */
  confirm(forgottenUpTo: number, answeredAtMs: number): void {
    this.#confirmedAtMs = answeredAtMs;
    this.#forgottenUpTo = Math.max(this.#forgottenUpTo, forgottenUpTo);
  }

  /** Records that the known life did not answer a poll. */
  doubt(): void {
    this.#confirmedAtMs = -Infinity;
  }

  /** Replaces the ends by those that the runner lists now. */
  setListed(ends: readonly RunEnd[], hasAll: boolean): void {
    this.ends = ends.filter(({ number }) => number > this.#storedUpTo);
    this.hasAll = hasAll;
  }

  /** Records that the keeper has stored the ends up to a number. */
  setStored(upTo: number): void {
    this.#storedUpTo = Math.max(this.#storedUpTo, upTo);
    this.setListed(this.ends, this.hasAll);
  }

  /** The part of a report that is about ends. */
  report() {
    return { ends: this.ends, hasMoreEnds: !this.hasAll };
  }

  /** Records that all ends are in a report. */
  setReported(): void {
    this.#reportedUpTo = this.ends.at(-1)?.number ?? this.#reportedUpTo;
  }
}
