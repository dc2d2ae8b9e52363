/**
 * Polls on request. Requests that come while a poll is under way share the next
 * one, which is sent after all of them.
 */
export class SharedPoll {
  #current: Promise<boolean> | undefined;
  #next: Promise<boolean> | undefined;

  /** `poll` returns whether the runner's known life has answered. */
  constructor(readonly poll: () => Promise<boolean>) {}

  request(): Promise<boolean> {
    if (this.#current === undefined) return this.#begin();
    this.#next ??= this.#current.then(() => {
      this.#next = undefined;
      return this.#begin();
    });
    return this.#next;
  }

  #begin(): Promise<boolean> {
    const poll = this.poll().then((isAnswered) => {
      if (this.#current === poll) this.#current = undefined;
      return isAnswered;
    });
    this.#current = poll;
    return poll;
  }
}
