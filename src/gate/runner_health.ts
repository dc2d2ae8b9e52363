/** For how long an answer shows that the known life is there. */
const answerValidMs = 250;
/** Consecutive polls without answer after which a runner counts as down. */
const pollsBeforeDown = 2;

/** Whether a runner answers, as its polls show. */
export class RunnerHealth {
  isUp = false;
  /** Whether the runner refused the connection of the newest poll. */
  isGone = false;
  #failedPolls = 0;
  /** When its known life gave the newest answer. */
  #answeredAtMs = -Infinity;

  /** Whether its known life has just answered the newest poll. */
  hasAnswered(nowMs: number): boolean {
    return this.isUp && this.#failedPolls === 0 &&
      nowMs - this.#answeredAtMs <= answerValidMs;
  }

  /** Starts over, for a new life of the runner. */
  reset(): void {
    this.isUp = false;
    this.isGone = false;
  }

  /** Records an answer of a time; returns whether the runner has come up. */
  recordAnswer(answeredAtMs: number): boolean {
    const wasUp = this.isUp;
    this.isUp = true;
    this.isGone = false;
    this.#failedPolls = 0;
    this.#answeredAtMs = answeredAtMs;
    return !wasUp;
  }

  /**
   * Records a failed poll; returns whether the runner has gone down. One poll
   * without answer does not yet mean that, since a healthy runner may cause it.
   */
  recordFailure(failure: string): boolean {
    this.#failedPolls += 1;
    this.isGone = failure === "refused";
    if (!this.isUp) return false;
    if (failure === "unknown" && this.#failedPolls < pollsBeforeDown) {
      return false;
    }
    this.isUp = false;
    return true;
  }
}
