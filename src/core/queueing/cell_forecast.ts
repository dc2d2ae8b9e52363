import type { Cell } from "../cell/cell.ts";
import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobId } from "../jobs/job_id.ts";
import type { JobState } from "../jobs/job_state.ts";
import { demandOf } from "./demand_of.ts";
import type { ForecastError } from "./forecast_error.ts";
import type { PoolLoad } from "./pool_load.ts";
import type { PredictedTimes } from "./predicted_times.ts";
import { QueueForecast } from "./queue_forecast.ts";
import { readPoolLoads } from "./read_pool_loads.ts";

const rebuildIntervalMs = 200;

interface Prediction {
  readonly queue: string;
  readonly endAtMs: number;
}

/** The forecasts of a cell's pools, checked against what happens to its jobs. */
export class CellForecast {
  loads: ReadonlyMap<string, PoolLoad> = new Map();
  readonly #forecasts = new Map<string, QueueForecast>();
  #builtAtMs = -Infinity;
  /** When each open job should end, by the monotonic clock. */
  readonly #predictions = new Map<JobId, Prediction>();

  /** Rebuilds the forecasts, if that is due; returns whether it was. */
  update(cell: Cell, nowMs: number, wallMs: number): boolean {
    if (nowMs - this.#builtAtMs < rebuildIntervalMs) return false;
    this.#builtAtMs = nowMs;
    this.loads = readPoolLoads(cell, nowMs, wallMs);
    for (const [pool, load] of this.loads) {
      this.#forecasts.set(pool, new QueueForecast(load));
    }
    return true;
  }

  /** When a new job would start and end; undefined if that is not known. */
  predict(cell: Cell, job: JobDefinition): PredictedTimes | undefined {
    const queue = cell.queues.get(job.queue);
    const demand = queue && demandOf(job, queue);
    if (demand === undefined) return undefined;
    return this.#forecasts.get(queue!.pool)?.predict(demand);
  }

  /** Notes when a new job is expected to end. */
  noteSubmitted(cell: Cell, job: JobDefinition, nowMs: number): void {
    const endInMs = this.predict(cell, job)?.endInMs ?? Infinity;
    if (endInMs === Infinity) return;
    const { id, queue } = job;
    this.#predictions.set(id, { queue, endAtMs: nowMs + endInMs });
  }

  /** Returns the error of a job's forecast once its outcome is known. */
  noteState(
    id: JobId,
    state: JobState,
    nowMs: number,
  ): ForecastError | undefined {
    if (state === "queued" || state === "running") return undefined;
    const prediction = this.#predictions.get(id);
    this.#predictions.delete(id);
    if (prediction === undefined || state !== "completed") return undefined;
    const { queue, endAtMs } = prediction;
    return { job: id, queue, lateMs: nowMs - endAtMs };
  }
}
