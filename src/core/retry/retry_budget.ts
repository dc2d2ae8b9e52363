/** Retries that are allowed before any deposit. */
const initialTokens = 3;
/** Limit of the retries that a quiet time can save up. */
const maxTokens = 50;

/** Limits retries to a ratio of the calls. */
export class RetryBudget {
  #tokens = initialTokens;

  constructor(public ratio: number) {}

  /** Credits one call with its share of a retry. */
  deposit(): void {
    this.#tokens = Math.min(maxTokens, this.#tokens + this.ratio);
  }

  /** Spends one retry; false if the budget is empty. */
  tryWithdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
