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

/** How often new checkpoints are saved. */
const checkpointSaveIntervalMs = 1_000;
/** How long a worker is suspended that is unhealthy or full on a start. */
const refusalPauseMs = 300;

/**
 * The jobs and workers of one cell. Every decision about a task's runs is made
 * here, from this cell's state alone, and yielded as an effect to carry out.
 */
export class Cell {
  readonly queues = new Map<string, Queue>();
  readonly jobs = new Map<JobId, Job>();
  /** The jobs without an outcome. */
  readonly live = new Set<Job>();
  readonly workers = new Map<NodeId, Worker>();

  readonly pressure = new PairPressure();
  readonly advice = new AdviceBook();
  /** Jobs with checkpoints that are not in the store yet. */
  readonly #unsavedJobs = new Set<Job>();
  #checkpointsSavedAtMs = -Infinity;

  constructor(readonly options: CellOptions) {}

  /** Adds a job, with its claims, as it was read from the store. */
  load(job: Job): void {
    this.jobs.set(job.definition.id, job);
    if (job.outcome === undefined) this.live.add(job);
    for (const task of job.tasks()) {
      if (task.claim !== undefined) this.worker(task.claim.node).add(task);
    }
  }

  /** Adds a new job; does nothing if its id is known. */
  *submit(definition: JobDefinition, wallMs: number): Effects {
    if (this.jobs.has(definition.id)) return;
    const job = new Job(definition);
    job.openDue(wallMs);
    this.jobs.set(definition.id, job);
    this.live.add(job);
    yield { kind: "show", job: definition.id, state: job.state };
  }

  /** Cancels a job, unless it already has an outcome. */
  *cancel(id: JobId, nowMs: number): Effects {
    const job = this.jobs.get(id);
    if (job === undefined || job.outcome !== undefined) return;
    job.outcome = "cancelled";
    yield* this.finish(job, nowMs);
  }

  /** Handles the loss of the connection to a worker's sidecar. */
  disconnected(node: NodeId): void {
    this.worker(node).isAdopted = false;
  }

  /**
   * Handles a sidecar's report: applies its run ends and reconciles the
   * worker's claims with its runs. From its first report on a connection, the
   * worker may get tasks.
   */
  *report(node: NodeId, report: WorkerReport, nowMs: number): Effects {
    const worker = this.worker(node);
    const isNewLife = worker.report?.life !== report.life;
    if (isNewLife) {
      worker.lastEnd = 0;
      worker.statuses.clear();
    }
    worker.report = report;
    const runs = new Map(report.running.map((run) => [run.task, run]));
    yield* this.#applyEnds(worker, report, nowMs);
    if (report.isLapsed) {
      yield* this.lost(node, nowMs);
      return;
    }
    if (!report.isUp) {
      // The runner did not answer, so its list of runs says nothing.
      worker.isAdopted = false;
      return;
    }
    yield* this.#releaseClaimsOfOtherLives(worker, report, runs, nowMs);
    yield* compareRuns(this, worker, runs, nowMs);
    worker.isAdopted = true;
    if (!observeWorker(worker, runs, this.pressure, nowMs)) return;
    yield* relieve(this, worker, nowMs);
  }

  /** Releases all claims of a worker whose lease has certainly expired. */
  *lost(node: NodeId, nowMs: number): Effects {
    const worker = this.worker(node);
    worker.isAdopted = false;
    for (const task of [...worker.claims.values()]) {
      yield* this.#releaseClaim(worker, task, nowMs);
    }
  }

  /** Marks a claimed run as running. */
  started(node: NodeId, name: TaskName, run: number, nowMs: number): void {
    const claim = this.workers.get(node)?.claimed(name, run)?.claim;
    if (claim?.phase !== "starting") return;
    claim.phase = "running";
    claim.sinceMs = nowMs;
    claim.progressAtMs = nowMs;
  }

  /** Handles a start that was certainly not carried out. */
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
      worker.asideUntilMs = nowMs + refusalPauseMs;
    }
    if (reason === "ticket") this.advice.forget(task.group);
    // The runner's new life is unknown until the sidecar's next report.
    if (reason === "other_life") worker.isAdopted = false;
    yield* this.#releaseClaim(worker, task, nowMs);
  }

  /**
   * Opens due occurrences, saves checkpoints, stops stuck runs, drains workers
   * and places waiting tasks.
   */
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

  /** Returns the worker of that name, and adds it if it is unknown. */
  worker(node: NodeId): Worker {
    const known = this.workers.get(node);
    if (known !== undefined) return known;
    const worker = new Worker(node);
    this.workers.set(node, worker);
    return worker;
  }

  /** Returns the task if its job is known and its occurrence is open. */
  task(name: TaskName): Task | undefined {
    const position = parseTaskName(name);
    if (position === undefined) return undefined;
    const { job, occurrence, step, index } = position;
    return this.jobs.get(job)?.taskAt(occurrence, step, index);
  }

  /**
   * Releases claims made for other lives of the runner, except those whose run
   * is active or unsettled in the current life: a start command does not tell
   * lives of one runner id apart, so it can reach a later life.
   */
  *#releaseClaimsOfOtherLives(
    worker: Worker,
    { life, unsettled }: WorkerReport,
    runs: ReadonlyMap<TaskName, RunStatus>,
    nowMs: number,
  ): Effects {
    for (const task of [...worker.claims.values()]) {
      const { claim } = task;
      if (claim === undefined || claim.life === life) continue;
      const mayRunHere = runs.get(task.name)?.run === task.run ||
        unsettled.includes(runKey({ task: task.name, run: task.run }));
      if (mayRunHere) {
        task.claim = { ...claim, life };
        yield { kind: "save", job: task.group.job };
      } else yield* this.#releaseClaim(worker, task, nowMs);
    }
  }

  *#applyEnds(worker: Worker, report: WorkerReport, nowMs: number): Effects {
    for (const end of report.ends) {
      if (end.number <= worker.lastEnd) continue;
      worker.lastEnd = end.number;
      yield* this.#applyEnd(worker, end, nowMs);
    }
    if (report.ends.length > 0) {
      const { node, lastEnd } = worker;
      yield { kind: "forget", node, life: report.life, end: lastEnd };
    }
  }

  *#applyEnd(worker: Worker, end: RunEnd, nowMs: number): Effects {
    const task = worker.claimed(end.task, end.run);
    if (task === undefined) return;
    worker.remove(task);
    yield* settleEnd(this, worker, task, end, nowMs);
  }

  /** Releases a claim, as the end of a run whose lease has lapsed. */
  *#releaseClaim(worker: Worker, task: Task, nowMs: number): Effects {
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

  /**
   * Records a task's newest checkpoint. It is saved at the next interval, since
   * a checkpoint that only the runner knows is lost with its machine.
   */
  noteCheckpoint(task: Task, checkpoint: string): void {
    if (checkpoint === "" || checkpoint === task.checkpoint) return;
    task.checkpoint = checkpoint;
    this.#unsavedJobs.add(task.group.job);
  }

  *#saveCheckpoints(nowMs: number): Effects {
    if (nowMs - this.#checkpointsSavedAtMs < checkpointSaveIntervalMs) return;
    this.#checkpointsSavedAtMs = nowMs;
    for (const job of this.#unsavedJobs) {
      if (job.outcome === undefined) yield { kind: "save", job };
    }
    this.#unsavedJobs.clear();
  }

  /** Saves and publishes a job's outcome and stops its remaining runs. */
  *finish(job: Job, nowMs: number): Effects {
    this.live.delete(job);
    yield { kind: "save", job };
    yield { kind: "show", job: job.definition.id, state: job.state };
    for (const task of job.tasks()) yield* this.stop(task, job.state, nowMs);
  }

  /** Stops a task's run, if it has one that is not being stopped yet. */
  *stop(task: Task, reason: string, nowMs: number): Effects {
    const { claim } = task;
    if (claim === undefined || claim.phase === "stopping") return;
    claim.phase = "stopping";
    claim.sinceMs = nowMs;
    const worker = this.worker(claim.node);
    yield stopOrderOf(worker, task.name, task.run, reason, claim.life);
  }
}
