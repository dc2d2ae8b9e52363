/** What a sidecar knows of the end of its runner's life before. */
export class CrashEvidence {
  /** What was starting up at the crash; undefined unless there was one. */
  #crashedStarts: readonly string[] | undefined;
  /** Whether that life had ended before this process could list its runs. */
  #isLifeBeforeUnknown = false;
  /** Whether a poll has listed the runs of the current life. */
  #isListed = false;

  recordPoll(): void {
    this.#isListed = true;
  }

  /** Handles a new life; `startingUp` is what the life before was starting. */
  beginLife(wasExpected: boolean, startingUp?: readonly string[]): void {
    this.#crashedStarts = startingUp;
    this.#isLifeBeforeUnknown = !this.#isListed && !wasExpected;
    this.#isListed = false;
  }

  /** The part of a report about it; `goneStarts` if the current life is gone. */
  describe(goneStarts: readonly string[] | undefined) {
    return {
      crashedStarts: goneStarts ?? this.#crashedStarts,
      isLifeBeforeUnknown: this.#isLifeBeforeUnknown,
    };
  }
}
