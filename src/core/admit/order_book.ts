import type { CallOutcome } from "../retry/call_outcome.ts";
import type { TrackedOrder } from "./tracked_order.ts";

/** Time for which the outcome of an order is kept. */
const retentionMs = 600_000;
/** While this many orders are kept, an order with a new key is not run. */
const maxOrders = 50_000;

/** Keeps orders by idempotency key, so that each runs at most once here. */
export class OrderBook {
  readonly #orders = new Map<string, TrackedOrder>();

  /** Returns the order with this key, if it is kept. */
  find(key: string): TrackedOrder | undefined {
    return this.#orders.get(key);
  }

  /** Number of orders that are kept. */
  get size(): number {
    return this.#orders.size;
  }

  /** Records an order before it is sent to the runner. */
  register(key: string, bodyHash: number, nowMs: number): void {
    this.#forgetOld(nowMs);
    this.#orders.set(key, { bodyHash, registeredAtMs: nowMs, waiting: [] });
  }

  /** Records the outcome, and passes it to the repeats that wait for it. */
  complete(key: string, outcome: CallOutcome): void {
    const order = this.#orders.get(key);
    if (order === undefined) return;
    // An order that did not run is forgotten: its key may be used again.
    const mayHaveRun = outcome.ok || outcome.error.descriptor.ran !== "no";
    if (mayHaveRun) order.outcome = outcome;
    else this.#orders.delete(key);
    for (const notify of order.waiting.splice(0)) notify(outcome);
  }

  /** Whether an order with a key of this age may have run and been dropped. */
  mayHaveForgotten(mintedAtMs: number, nowMs: number): boolean {
    return nowMs - mintedAtMs > retentionMs || this.#orders.size >= maxOrders;
  }

  #forgetOld(nowMs: number): void {
    for (const [key, order] of this.#orders) {
      if (nowMs - order.registeredAtMs <= retentionMs) return;
      if (order.outcome !== undefined) this.#orders.delete(key);
    }
  }
}
