import type { CallOutcome } from "../retry/call_outcome.ts";
import type { OrderEntry } from "./order_entry.ts";

const keptMs = 600_000;
const mostKept = 50_000;

/** Remembers orders by their key, so that each runs at most once here. */
export class OrderBook {
  readonly #orders = new Map<string, OrderEntry>();

  /** What is known of an order under this key. */
  find(key: string): OrderEntry | undefined {
    return this.#orders.get(key);
  }

  /** How many keys are kept. */
  get size(): number {
    return this.#orders.size;
  }

  /** An order with this key is about to go to the runner. */
  begin(key: string, bodyHash: number, nowMs: number): void {
    this.#forgetOld(nowMs);
    this.#orders.set(key, { bodyHash, sinceMs: nowMs, waiting: [] });
  }

  /** The order is over; all who wait for it hear the same. */
  end(key: string, outcome: CallOutcome): void {
    const order = this.#orders.get(key);
    if (order === undefined) return;
    const wasRun = outcome.ok || outcome.error.descriptor.ran !== "no";
    if (wasRun) order.outcome = outcome;
    else this.#orders.delete(key);
    for (const hear of order.waiting.splice(0)) hear(outcome);
  }

  /** Whether a key of this age may have been forgotten here. */
  mayHaveForgotten(mintedAtMs: number, nowMs: number): boolean {
    return nowMs - mintedAtMs > keptMs || this.#orders.size >= mostKept;
  }

  #forgetOld(nowMs: number): void {
    for (const [key, order] of this.#orders) {
      if (nowMs - order.sinceMs <= keptMs) return;
      if (order.outcome !== undefined) this.#orders.delete(key);
    }
  }
}
