import { maxLatenessMs } from "../core/clock/max_lateness_ms.ts";

/** How many keys of possibly stored rows are remembered; bounds memory. */
const maxKeys = 10_000;

/** Tracks the keys of rows that an append without an answer may store. */
export class UncertainKeys {
  /** How many appends with the key are without an answer yet. */
  readonly #inFlight = new Map<string, number>();
  /** Keys of which an append ended without an answer, and when one last did. */
  readonly #unanswered = new Map<string, number>();

  /** Whether a row of the key may have been stored, or may be yet. */
  has(key: string): boolean {
    return this.#inFlight.has(key) || this.#unanswered.has(key);
  }

  /** Whether an append may store a row of the key from now on. */
  mayStillStore(key: string, nowMs: number): boolean {
    const unansweredAtMs = this.#unanswered.get(key) ?? -Infinity;
    return this.#inFlight.has(key) || nowMs - unansweredAtMs <= maxLatenessMs;
  }

  beginAppend(key: string): void {
    this.#inFlight.set(key, (this.#inFlight.get(key) ?? 0) + 1);
  }

  endAppend(
    key: string,
    outcome: "stored" | "failed" | "unknown",
    nowMs: number,
  ): void {
    const others = (this.#inFlight.get(key) ?? 1) - 1;
    if (others > 0) this.#inFlight.set(key, others);
    else this.#inFlight.delete(key);
    if (outcome === "stored") this.#unanswered.delete(key);
    else if (outcome === "unknown") this.#note(key, nowMs);
  }

  #note(key: string, nowMs: number): void {
    this.#unanswered.delete(key);
    const [oldest] = this.#unanswered.keys();
    if (this.#unanswered.size >= maxKeys && oldest !== undefined) {
      this.#unanswered.delete(oldest);
    }
    this.#unanswered.set(key, nowMs);
  }
}
