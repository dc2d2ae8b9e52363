import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { LimitReason } from "./limit_reason.ts";

const logIntervalMs = 1_000;

/** Counts what is cut at limits by reason, and logs it once a second at most. */
export class LimitReport {
  readonly #unlogged = new Map<LimitReason, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(readonly metrics: PrometheusMetrics, readonly log: Logger) {}

  record(reason: LimitReason): void {
    this.metrics.count("limits_reached", { reason });
    this.#unlogged.set(reason, (this.#unlogged.get(reason) ?? 0) + 1);
    if (this.#timer !== undefined) return;
    this.#write();
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#unlogged.size > 0) this.#write();
    }, logIntervalMs).unref();
  }

  #write(): void {
    this.log.warn("limits_reached", Object.fromEntries(this.#unlogged));
    this.#unlogged.clear();
  }
}
