const smallestReserve = 3;
const largestReserve = 50;

/** Lets retries add at most a share of the requests to the load. */
export class RetryBudget {
  #tokens = smallestReserve;

  constructor(public ratio: number) {}

  /** A first attempt was made. */
  deposit(): void {
    this.#tokens = Math.min(largestReserve, this.#tokens + this.ratio);
  }

  /** Takes one retry from the budget, if there is one. */
  withdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
