/** How many keys of possibly stored rows are remembered; bounds memory. */
const maxKeys = 10_000;

/** Tracks the keys of rows that an append without an answer may store. */
export class UncertainKeys {
  /** How many appends with the key are without an answer yet. */
  readonly #inFlight = new Map<string, number>();
  /** Keys of which an append ended without an answer. */
  readonly #unanswered = new Set<string>();

  /** Whether a row of the key may have been stored, or may be yet. */
  has(key: string): boolean {
    return this.#inFlight.has(key) || this.#unanswered.has(key);
  }

  beginAppend(key: string): void {
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
  }

  endAppend(key: string, outcome: "stored" | "failed" | "unknown"): void {
    const others = (this.#inFlight.get(key) ?? 1) - 1;
    if (others > 0) this.#inFlight.set(key, others);
    else this.#inFlight.delete(key);
    if (outcome === "stored") this.#unanswered.delete(key);
    else if (outcome === "unknown") this.#note(key);
  }

  #note(key: string): void {
    const [oldest] = this.#unanswered;
    if (this.#unanswered.size >= maxKeys && oldest !== undefined) {
      this.#unanswered.delete(oldest);
    }
    this.#unanswered.add(key);
  }
}
