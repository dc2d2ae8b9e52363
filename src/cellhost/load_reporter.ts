import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Cell } from "../core/cell/cell.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { CellForecast } from "../core/queueing/cell_forecast.ts";
import type { LoadSummary } from "../core/queueing/load_summary.ts";
import { summarizeLoads } from "../core/queueing/summarize_loads.ts";

/** An unchanged summary is sent again after this long, so that it stays valid. */
const resendIntervalMs = 1_000;
/** Until then a new keeper may not know all workers. */
const settlingMs = 1_500;
const milliMsPerCoreS = 1_000_000;

/** Predicts a cell's load during a keeper's term, and publishes it. */
export class LoadReporter {
  readonly #forecast = new CellForecast();
  readonly #beganAtMs: number;
  #publishedAtMs = -Infinity;
  #published = "";

  constructor(
    readonly metrics: PrometheusMetrics,
    readonly clock: Clock,
    readonly publish: (summary: LoadSummary) => void,
  ) {
    this.#beganAtMs = clock.nowMs();
  }

  /** Rebuilds the forecasts when that is due; to be called before each tick. */
  update(cell: Cell): void {
    const nowMs = this.clock.nowMs();
    const wallMs = this.clock.wallMs();
    if (!this.#forecast.update(cell, nowMs, wallMs)) return;
    this.#countWaiting(cell);
    if (nowMs - this.#beganAtMs < settlingMs) return;
    const summary = summarizeLoads(this.#forecast.loads, wallMs);
    const text = JSON.stringify(summary.pools);
    const isDue = nowMs - this.#publishedAtMs >= resendIntervalMs;
    if (text === this.#published && !isDue) return;
    this.#published = text;
    this.#publishedAtMs = nowMs;
    this.publish(summary);
  }

  noteSubmitted(cell: Cell, job: JobDefinition): void {
    this.#forecast.noteSubmitted(cell, job, this.clock.nowMs());
  }

  noteState(id: JobId, state: JobState): void {
    const nowMs = this.clock.nowMs();
    const error = this.#forecast.noteState(id, state, nowMs);
    if (error === undefined) return;
    this.metrics.recordForecastError(error.queue, Math.abs(error.lateMs));
  }

  #countWaiting(cell: Cell): void {
    this.metrics.resetGauge("waiting_core_seconds");
    for (const queue of cell.queues.keys()) {
      this.metrics.setGauge("waiting_core_seconds", 0, { queue, party: "" });
    }
    for (const { filler } of this.#forecast.loads.values()) {
      for (const { queue, party, milliMs } of filler.waiting) {
        this.metrics.addToGauge(
          "waiting_core_seconds",
          milliMs / milliMsPerCoreS,
          { queue, party },
        );
      }
    }
  }
}
