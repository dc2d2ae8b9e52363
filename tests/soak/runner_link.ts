/** Which calls and answers are lost: calls, and so their answers, or answers. */
export type LinkCut = "calls" | "answers";

/** What lies between a runner and its sidecar. */
export class RunnerLink {
  /** A cut that is under way: calls without answer hang. */
  cut: LinkCut | undefined;
  #held: Promise<void> | undefined;
  #release: () => void = () => {};

  /** Whether calls wait for the runner's next life. */
  get isHolding(): boolean {
    return this.#held !== undefined;
  }

  /** Holds the calls that come from now on, on connections that stay open. */
  hold(): void {
    this.#held ??= new Promise<void>((resolve) => this.#release = resolve);
  }

  /** Passes on the calls that were held. */
  release(): void {
    this.#held = undefined;
    this.#release();
  }

  /** Passes a call on and its answer back, unless they are lost. */
  async pass<T>(call: () => Promise<T>): Promise<T> {
    await this.#held;
    if (this.cut === "calls") return await this.#lose();
    const answer = await call();
    return this.cut === undefined ? answer : await this.#lose();
  }

  #lose(): Promise<never> {
    return new Promise(() => {});
  }
}
