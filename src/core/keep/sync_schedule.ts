import type { WorkerId } from "../../schema/worker_id.ts";

interface Exchange {
  sentAtMs: number;
  isActive: boolean;
  isDue: boolean;
}

/** After this time without an answer, another exchange may start. */
const exchangeTimeoutMs = 2_000;

/** Tracks the exchanges with each worker and when the next one is due. */
export class SyncSchedule {
  readonly #exchanges = new Map<WorkerId, Exchange>();

  constructor(readonly everyMs: number) {}

  /** Makes an exchange with the worker due at once. */
  expedite(worker: WorkerId): void {
    this.#exchangeWith(worker).isDue = true;
  }

  /** Records that the exchange with the worker ended. */
  recordEnd(worker: WorkerId): void {
    this.#exchangeWith(worker).isActive = false;
  }

  /** Starts an exchange if one is due and none is in progress. */
  tryStart(worker: WorkerId, nowMs: number): boolean {
    const exchange = this.#exchangeWith(worker);
    const elapsedMs = nowMs - exchange.sentAtMs;
    if (exchange.isActive && elapsedMs < exchangeTimeoutMs) return false;
    if (!exchange.isDue && elapsedMs < this.everyMs) return false;
    exchange.sentAtMs = nowMs;
    exchange.isActive = true;
    exchange.isDue = false;
    return true;
  }

  #exchangeWith(worker: WorkerId): Exchange {
    const existing = this.#exchanges.get(worker);
    if (existing !== undefined) return existing;
    const exchange = { sentAtMs: -Infinity, isActive: false, isDue: true };
    this.#exchanges.set(worker, exchange);
    return exchange;
  }
}
