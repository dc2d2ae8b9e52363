import type { Cell } from "../cell/cell.ts";
import type { CellEffect } from "../cell/cell_effect.ts";
import type { CellOptions } from "../cell/cell_options.ts";
import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { AttemptWidth } from "./attempt_width.ts";
import { DeclaredRunTimes } from "./declared_run_times.ts";
import { RunTimeEstimator } from "./run_time_estimator.ts";
import type { RunTimeRow } from "./run_time_row.ts";
import type { RunTimes } from "./run_times.ts";
import { StragglerPolicy } from "./straggler_policy.ts";
import { WorkerSpeed } from "./worker_speed.ts";

/** What a cell learns from the runs of its workers, as its options ask. */
export class RunStatistics {
  readonly estimator: RunTimeEstimator | undefined;
  readonly runTimes: RunTimes;
  readonly speed: WorkerSpeed | undefined;
  readonly stragglers: StragglerPolicy | undefined;

  readonly attempts: AttemptWidth | undefined;

  constructor({ learnsRunTimes, watchesSpeed, limitsAttempts }: CellOptions) {
    if (limitsAttempts) this.attempts = new AttemptWidth();
    const estimator = new RunTimeEstimator();
    if (learnsRunTimes || watchesSpeed) this.estimator = estimator;
    if (watchesSpeed) {
      this.speed = new WorkerSpeed(estimator);
      this.stragglers = new StragglerPolicy(estimator);
    }
    this.runTimes = learnsRunTimes ? estimator : new DeclaredRunTimes();
  }

  /** Learns from a report on a worker's runs. */
  *observe(
    cell: Cell,
    worker: Worker,
    runs: ReadonlyMap<TaskName, RunStatus>,
    nowMs: number,
  ): Generator<CellEffect, void> {
    this.estimator?.observe(worker, runs, nowMs);
    if (this.speed) yield* this.speed.observe(cell, worker, nowMs);
    if (this.stragglers) yield* this.stragglers.observe(cell, worker, nowMs);
  }

  /** Learns from a task whose run is done; `afterMs`: see `RunMeter`. */
  *recordDone(
    task: Task,
    nowMs: number,
    afterMs: number,
  ): Generator<CellEffect, void> {
    this.estimator?.recordDone(task, nowMs, afterMs);
    if (this.stragglers) yield* this.stragglers.recordDone(task, nowMs);
  }

  /** Adds what an earlier keeper learned of run times, if it was stored. */
  restore(row: RunTimeRow | undefined): void {
    if (row !== undefined) this.estimator?.restore(row);
  }

  /** Forgets the speed of a worker whose sidecar or runner begins anew. */
  forgetSpeed(worker: Worker): void {
    this.speed?.forget(worker);
  }
}
