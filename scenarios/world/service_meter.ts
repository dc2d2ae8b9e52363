import type { ServiceLatency } from "../../src/core/interfere/service_latency.ts";
import type { SimWorker } from "./sim_worker.ts";

/** Measurements come this much later than what they show. */
const lagMs = 2_000;
const noise = 0.05;

/** Measures services, and hands the measurements on with a lag. */
export class ServiceMeter {
  /** By how much each template slows a service on its worker. */
  readonly slowdowns = new Map<string, number>();
  /** Every measurement, as a multiple of the undisturbed latency. */
  readonly ratios: number[] = [];
  readonly #held: {
    readonly atMs: number;
    readonly loads: ServiceLatency[];
  }[] = [];

  constructor(readonly random: () => number) {}

  /** Measures now; gives the newest measurement that is old enough. */
  measure(workers: Iterable<SimWorker>, nowMs: number): ServiceLatency[] {
    const loads: ServiceLatency[] = [];
    for (const worker of workers) {
      if (worker.service === undefined || !worker.isAlive) continue;
      const exactMs = worker.latencyMs(this.slowdowns);
      this.ratios.push(exactMs / worker.service.baseMs);
      const latencyMs = exactMs * (1 + (this.random() * 2 - 1) * noise);
      loads.push({
        worker: worker.id,
        service: worker.service.name,
        latencyMs,
      });
    }
    this.#held.push({ atMs: nowMs, loads });
    while (this.#held[1] && this.#held[1].atMs <= nowMs - lagMs) {
      this.#held.shift();
    }
    const [oldest] = this.#held;
    return oldest && oldest.atMs <= nowMs - lagMs ? oldest.loads : [];
  }

  /** A percentile of all ratios so far. */
  percentile(part: number): number {
    const sorted = [...this.ratios].sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) * part)] ?? 1;
  }
}
