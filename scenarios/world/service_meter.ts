import type { ServiceLatency } from "../../src/core/interfere/service_latency.ts";
import type { SimWorker } from "./sim_worker.ts";

/** Age of a measurement when it is reported. */
const lagMs = 2_000;
/** Largest relative error of a reported latency. */
const noiseRatio = 0.05;

/** Measures the services' latency and reports it with a lag and an error. */
export class ServiceMeter {
  /** Factor by which one task of a template slows services on its worker. */
  readonly slowdownByTemplate = new Map<string, number>();
  /** Every exact measurement, as a multiple of the undisturbed latency. */
  readonly latencyRatios: number[] = [];
  readonly #recent: {
    readonly atMs: number;
    readonly loads: ServiceLatency[];
  }[] = [];

  constructor(readonly random: () => number) {}

  /** Measures now; returns the newest measurement that is `lagMs` old. */
  measure(workers: Iterable<SimWorker>, nowMs: number): ServiceLatency[] {
    const loads: ServiceLatency[] = [];
    for (const worker of workers) {
      if (worker.service === undefined || !worker.isAlive) continue;
      const exactMs = worker.serviceLatencyMs(this.slowdownByTemplate);
      this.latencyRatios.push(exactMs / worker.service.baseLatencyMs);
      const latencyMs = exactMs * (1 + (this.random() * 2 - 1) * noiseRatio);
      loads.push({
        worker: worker.id,
        service: worker.service.name,
        latencyMs,
      });
    }
    this.#recent.push({ atMs: nowMs, loads });
    while (this.#recent[1] && this.#recent[1].atMs <= nowMs - lagMs) {
      this.#recent.shift();
    }
    const [oldest] = this.#recent;
    return oldest && oldest.atMs <= nowMs - lagMs ? oldest.loads : [];
  }

  /** A quantile (0 to 1) of all ratios so far; 1 if there are none. */
  latencyRatioAt(quantile: number): number {
    const sorted = [...this.latencyRatios].sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) * quantile)] ?? 1;
  }
}
