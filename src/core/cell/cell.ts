import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobId } from "../jobs/job_id.ts";
import type { NodeId } from "../jobs/node_id.ts";
import { runKey } from "../jobs/run_key.ts";
import { parseTaskName } from "../jobs/parse_task_name.ts";
import type { Queue } from "../jobs/queue.ts";
import type { RunEnd } from "../jobs/run_end.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { AdviceBook } from "./advice_book.ts";
import type { CellEffect } from "./cell_effect.ts";
import { compareRuns } from "./compare_runs.ts";
import type { CellOptions } from "./cell_options.ts";
import { Job } from "./job.ts";
import { leaveDraining } from "./leave_draining.ts";
import { placeWaiting } from "./place_waiting.ts";
import { settleEnd } from "./settle_end.ts";
import type { StartRefusal } from "./start_refusal.ts";
import { stopOrderOf } from "./stop_order_of.ts";
import { stopStuck } from "./stop_stuck.ts";
import type { Task } from "./task.ts";
import { observeWorker } from "./observe_worker.ts";
import { PairPressure } from "../interfere/pair_pressure.ts";
import { relieve } from "./relieve.ts";
import { Worker } from "./worker.ts";
import type { WorkerReport } from "./worker_report.ts";

type Effects = Generator<CellEffect, void>;

/** New checkpoints are stored so often. */
const checkpointsEveryMs = 1_000;
/** A worker whose runner turned a start away gets nothing for this long. */
const refusedPauseMs = 300;

/**
 * The jobs and workers of one cell, and what is to be done about them. The one
 * place where a task's runs are decided; it answers the load of its cell alone.
 */
export class Cell {
  readonly queues = new Map<string, Queue>();
  readonly jobs = new Map<JobId, Job>();
  /** The jobs that have no outcome. */
  readonly live = new Set<Job>();
  readonly workers = new Map<NodeId, Worker>();

  readonly pressure = new PairPressure();
  readonly advice = new AdviceBook();
  /** Jobs with checkpoints that the store does not have. */
  readonly #unsaved = new Set<Job>();
  #savedAtMs = -Infinity;

  constructor(readonly options: CellOptions) {}

  /** Takes a job over from the store as it stands there. */
  load(job: Job): void {
    this.jobs.set(job.definition.id, job);
    if (job.outcome === undefined) this.live.add(job);
    for (const task of job.tasks()) {
      if (task.claim !== undefined) this.worker(task.claim.node).add(task);
    }
  }

  /** Takes a new job in; a known id changes nothing. */
  *submit(definition: JobDefinition, wallMs: number): Effects {
    if (this.jobs.has(definition.id)) return;
    const job = new Job(definition);
    job.openDue(wallMs);
    this.jobs.set(definition.id, job);
    this.live.add(job);
    yield { kind: "show", job: definition.id, state: job.state };
  }

  /** Ends a job at its caller's wish. */
  *cancel(id: JobId, nowMs: number): Effects {
    const job = this.jobs.get(id);
    if (job === undefined || job.outcome !== undefined) return;
    job.outcome = "cancelled";
    yield* this.finish(job, nowMs);
  }

  /** A worker's sidecar is out of touch. */
  disconnected(node: NodeId): void {
    this.worker(node).isAdopted = false;
  }

  /** Takes a sidecar's report; its first on a connection adopts the claims. */
  *report(node: NodeId, report: WorkerReport, nowMs: number): Effects {
    const worker = this.worker(node);
    const isNewLife = worker.report?.life !== report.life;
    if (isNewLife) {
      worker.lastEnd = 0;
      worker.statuses.clear();
    }
    worker.report = report;
    const runs = new Map(report.running.map((run) => [run.task, run]));
    yield* this.#takeEnds(worker, report, nowMs);
    if (report.isLapsed) {
      yield* this.lost(node, nowMs);
      return;
    }
    if (!report.isUp) {
      // What runs there is not known, so nothing may be concluded from it.
      worker.isAdopted = false;
      return;
    }
    yield* this.#releaseOthers(worker, report, runs, nowMs);
    yield* compareRuns(this, worker, runs, nowMs);
    worker.isAdopted = true;
    if (!observeWorker(worker, runs, this.pressure, nowMs)) return;
    yield* relieve(this, worker, nowMs);
  }

  /** The worker's lease has surely run out and nobody renews it. */
  *lost(node: NodeId, nowMs: number): Effects {
    const worker = this.worker(node);
    worker.isAdopted = false;
    for (const task of [...worker.claims.values()]) {
      yield* this.#release(worker, task, nowMs);
    }
  }

  /** A start was carried out. */
  started(node: NodeId, name: TaskName, run: number, nowMs: number): void {
    const claim = this.workers.get(node)?.claimed(name, run)?.claim;
    if (claim?.phase !== "ordered") return;
    claim.phase = "running";
    claim.sinceMs = nowMs;
    claim.progressAtMs = nowMs;
  }

  /** A start was surely not carried out. */
  *refused(
    node: NodeId,
    name: TaskName,
    run: number,
    reason: StartRefusal,
    nowMs: number,
  ): Effects {
    const worker = this.worker(node);
    const task = worker.claimed(name, run);
    if (task === undefined) return;
    if (reason === "unhealthy" || reason === "no_room") {
      worker.asideUntilMs = nowMs + refusedPauseMs;
    }
    if (reason === "ticket") this.advice.forget(task.group);
    // Until it reports, nothing is known of its runner's new life.
    if (reason === "other_life") worker.isAdopted = false;
    yield* this.#release(worker, task, nowMs);
  }

  /** Opens what is due, stops what is stuck, and places what waits. */
  *tick(nowMs: number, wallMs: number): Effects {
    for (const job of this.live) {
      if (job.definition.schedule === undefined) continue;
      if (job.openDue(wallMs)) yield { kind: "save", job };
    }
    yield* this.#saveCheckpoints(nowMs);
    yield* stopStuck(this, nowMs);
    yield* leaveDraining(this, nowMs);
    yield* placeWaiting(this, nowMs, wallMs);
  }

  /** The worker of the name. */
  worker(node: NodeId): Worker {
    const known = this.workers.get(node);
    if (known !== undefined) return known;
    const worker = new Worker(node);
    this.workers.set(node, worker);
    return worker;
  }

  /** The task of the name, if its job is known and its occurrence open. */
  task(name: TaskName): Task | undefined {
    const place = parseTaskName(name);
    if (place === undefined) return undefined;
    const { job, occurrence, step, index } = place;
    return this.jobs.get(job)?.taskAt(occurrence, step, index);
  }

  /**
   * Claims of earlier lives are over, but for those whose start has reached the
   * new life, or may yet: an order tells lives with one id not apart.
   */
  *#releaseOthers(
    worker: Worker,
    { life, unsettled }: WorkerReport,
    runs: ReadonlyMap<TaskName, RunStatus>,
    nowMs: number,
  ): Effects {
    for (const task of [...worker.claims.values()]) {
      const { claim } = task;
      if (claim === undefined || claim.life === life) continue;
      const isThere = runs.get(task.name)?.run === task.run ||
        unsettled.includes(runKey({ task: task.name, run: task.run }));
      if (isThere) {
        task.claim = { ...claim, life };
        yield { kind: "save", job: task.group.job };
      } else yield* this.#release(worker, task, nowMs);
    }
  }

  *#takeEnds(worker: Worker, report: WorkerReport, nowMs: number): Effects {
    for (const end of report.ends) {
      if (end.number <= worker.lastEnd) continue;
      worker.lastEnd = end.number;
      yield* this.#takeEnd(worker, end, nowMs);
    }
    if (report.ends.length > 0) {
      const { node, lastEnd } = worker;
      yield { kind: "forget", node, life: report.life, end: lastEnd };
    }
  }

  *#takeEnd(worker: Worker, end: RunEnd, nowMs: number): Effects {
    const task = worker.claimed(end.task, end.run);
    if (task === undefined) return;
    worker.remove(task);
    yield* settleEnd(this, worker, task, end, nowMs);
  }

  *#release(worker: Worker, task: Task, nowMs: number): Effects {
    worker.remove(task);
    const checkpoint = task.checkpoint;
    const { name, run } = task;
    const end: RunEnd = {
      number: 0,
      task: name,
      run,
      outcome: "lapsed",
      checkpoint,
    };
    yield* settleEnd(this, worker, task, end, nowMs);
  }

  /** A checkpoint that only a runner knows is lost with its machine. */
  noteCheckpoint(task: Task, checkpoint: string): void {
    if (checkpoint === "" || checkpoint === task.checkpoint) return;
    task.checkpoint = checkpoint;
    this.#unsaved.add(task.group.job);
  }

  *#saveCheckpoints(nowMs: number): Effects {
    if (nowMs - this.#savedAtMs < checkpointsEveryMs) return;
    this.#savedAtMs = nowMs;
    for (const job of this.#unsaved) {
      if (job.outcome === undefined) yield { kind: "save", job };
    }
    this.#unsaved.clear();
  }

  /** A job got its outcome: all that runs of it is stopped. */
  *finish(job: Job, nowMs: number): Effects {
    this.live.delete(job);
    yield { kind: "save", job };
    yield { kind: "show", job: job.definition.id, state: job.state };
    for (const task of job.tasks()) yield* this.stop(task, job.state, nowMs);
  }

  /** Stops a task's run, if it has one. */
  *stop(task: Task, reason: string, nowMs: number): Effects {
    const { claim } = task;
    if (claim === undefined || claim.phase === "stopping") return;
    claim.phase = "stopping";
    claim.sinceMs = nowMs;
    const worker = this.worker(claim.node);
    yield stopOrderOf(worker, task.name, task.run, reason, claim.life);
  }
}
