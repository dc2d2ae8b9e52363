import type { WorkerId } from "../../schema/worker_id.ts";

interface Exchange {
  sentAtMs: number;
  busy: boolean;
  due: boolean;
}

/** How long an exchange may take before another is started. */
const exchangeTimeoutMs = 2_000;

/** Keeps when each worker was last asked, and who is due. */
export class SyncBook {
  readonly #exchanges = new Map<WorkerId, Exchange>();

  constructor(readonly everyMs: number) {}

  /** The worker has something to do at once. */
  hurry(worker: WorkerId): void {
    this.#of(worker).due = true;
  }

  /** An exchange with the worker ended. */
  ended(worker: WorkerId): void {
    this.#of(worker).busy = false;
  }

  /** Takes the worker's turn if it is due and none is under way. */
  take(worker: WorkerId, nowMs: number): boolean {
    const exchange = this.#of(worker);
    const elapsedMs = nowMs - exchange.sentAtMs;
    if (exchange.busy && elapsedMs < exchangeTimeoutMs) return false;
    if (!exchange.due && elapsedMs < this.everyMs) return false;
    exchange.sentAtMs = nowMs;
    exchange.busy = true;
    exchange.due = false;
    return true;
  }

  #of(worker: WorkerId): Exchange {
    const known = this.#exchanges.get(worker);
    if (known !== undefined) return known;
    const exchange = { sentAtMs: -Infinity, busy: false, due: true };
    this.#exchanges.set(worker, exchange);
    return exchange;
  }
}
