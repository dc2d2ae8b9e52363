import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Cell } from "../core/cell/cell.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { CellForecast } from "../core/queueing/cell_forecast.ts";

/** Predicts a cell's load during a keeper's term and checks the predictions. */
export class LoadReporter {
  readonly #forecast = new CellForecast();

  constructor(readonly metrics: PrometheusMetrics, readonly clock: Clock) {}

  /** Rebuilds the forecasts when that is due; to be called before each tick. */
  update(cell: Cell): void {
    this.#forecast.update(cell, this.clock.nowMs(), this.clock.wallMs());
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
}
