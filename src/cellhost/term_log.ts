import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Cell } from "../core/cell/cell.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { Refusal } from "../core/cell/refusal.ts";
import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import type { Worker } from "../core/cell/worker.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import { WaitingWatch } from "./waiting_watch.ts";

/** Logs and counts what happens in one term of a keeper. */
export class TermLog {
  readonly #beganAtMs: number;
  readonly #waiting: WaitingWatch;
  #hasLoggedRenewal = false;

  constructor(
    readonly epoch: number,
    readonly log: Logger,
    readonly metrics: PrometheusMetrics,
    readonly clock: Clock,
    readonly leases: LeaseTracker,
  ) {
    this.#beganAtMs = clock.nowMs();
    this.#waiting = new WaitingWatch(leases, log, metrics);
  }

  begin({ liveJobs, workers }: Cell): void {
    const { epoch } = this;
    this.metrics.count("terms");
    this.metrics.setGauge("epoch", epoch);
    this.metrics.setGauge("in_office", 1);
    this.log.info("term_begun", {
      epoch,
      jobs: liveJobs.size,
      workers: workers.size,
      earlier_keepers_left_ms: this.leases.earlier.leftMs,
    });
  }

  end(leaving: boolean): void {
    this.#waiting.close();
    this.metrics.setGauge("in_office", 0);
    this.log.info("term_ended", { epoch: this.epoch, leaving });
  }

  /** Records each end that no earlier report of the worker held. */
  recordEnds(worker: Worker, report: SidecarReport): void {
    const { node, lastEnd, report: known } = worker;
    const from = known?.life === report.life ? lastEnd : 0;
    for (const { number, task, run, outcome, checkpoint } of report.ends) {
      if (number <= from) continue;
      this.metrics.count("ends", { outcome });
      this.log.info("end", { node, task, run, outcome, checkpoint });
    }
  }

  recordRefusal(node: NodeId, { task, run, reason }: Refusal): void {
    this.metrics.count("start_refusals", { reason });
    this.log.info("start_refused", { node, task, run, reason });
  }

  recordStop(effect: Extract<CellEffect, { kind: "stop" }>): void {
    const { node, task, run, reason } = effect;
    this.metrics.count("stops", { reason });
    this.log.info("stop", { node, task, run, reason });
  }

  recordNote(
    { event, fields }: Extract<CellEffect, { kind: "note" }>,
  ): void {
    this.metrics.count("decisions", { event });
    this.log.info(event, { ...fields });
  }

  /**
   * Sets the gauges of the cell's jobs and of what it learns, where it does, and
   * logs which tasks wait. To be called once the cell has decided.
   */
  recordState(cell: Cell): void {
    const { metrics } = this;
    const { liveJobs, statistics } = cell;
    this.#waiting.update(cell, this.clock.nowMs());
    const { estimator, speed, stragglers } = statistics;
    metrics.setGauge("jobs_live", liveJobs.size);
    let pendingStarts = 0;
    for (const worker of cell.workers.values()) {
      pendingStarts += worker.pendingStarts.size;
    }
    metrics.setGauge("starts_pending", pendingStarts);
    if (estimator !== undefined) {
      metrics.setGauge("declared_error", estimator.errors.declared);
      metrics.setGauge("learned_error", estimator.errors.learned);
    }
    if (speed === undefined || stragglers === undefined) return;
    const { extraCoreMs } = stragglers.budget;
    metrics.setGauge("workers_suspected", speed.suspectCount);
    metrics.setGauge("straggler_help_share", stragglers.helpShare);
    metrics.setGauge("extra_core_seconds", extraCoreMs / 1_000);
  }

  /** Records that so many claims of a worker are released since it is lost. */
  recordLostWorker(
    { node, report, reportedAtMs }: Worker,
    claims: number,
  ): void {
    this.metrics.count("workers_lost");
    const nowMs = this.clock.nowMs();
    this.log.warn("worker_lost", {
      node,
      claims,
      life: report?.life,
      is_up: report?.isUp,
      is_lapsed: report?.isLapsed,
      report_age_ms: report && Math.round(nowMs - reportedAtMs),
      renewed_age_ms: this.leases.renewedAgeMs(node),
    });
  }

  /** Records that the leases of all workers are renewed, the first time. */
  recordRenewal({ workers }: Cell): void {
    if (this.#hasLoggedRenewal) return;
    for (const { isReconciled } of workers.values()) {
      if (!isReconciled) return;
    }
    this.#hasLoggedRenewal = true;
    const nowMs = this.clock.nowMs();
    this.log.info("leases_renewed", {
      epoch: this.epoch,
      since_start_ms: Math.round(nowMs),
      since_term_ms: Math.round(nowMs - this.#beganAtMs),
      workers: workers.size,
    });
  }
}
