import { RunStatistics } from "../estimate/run_statistics.ts";
import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobId } from "../jobs/job_id.ts";
import type { NodeId } from "../jobs/node_id.ts";
import { parseTaskName } from "../jobs/parse_task_name.ts";
import type { RunId } from "../jobs/run_id.ts";
import type { Queue } from "../jobs/queue.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { AdviceCache } from "./advice_cache.ts";
import type { CellEffect } from "./cell_effect.ts";
import { recordCrash } from "./record_crash.ts";
import { reconcileRuns } from "./reconcile_runs.ts";
import type { CellOptions } from "./cell_options.ts";
import { Job } from "./job.ts";
import { RunMoves } from "./run_moves.ts";
import { releaseClaimsOfOtherLives } from "./release_claims_of_other_lives.ts";
import { releaseLapsedClaims } from "./release_lapsed_claims.ts";
import type { EvacuationPlanner } from "../evacuate/evacuation_planner.ts";
import { stopUnseenStart } from "../evacuate/stop_unseen_start.ts";
import { DemandIndex } from "./demand_index.ts";
import { LearnedRows } from "./learned_rows.ts";
import { openDueOccurrences } from "./open_due_occurrences.ts";
import { placeWaitingTasks } from "./place_waiting_tasks.ts";
import { applyEnds } from "./apply_ends.ts";
import { applyRefusal } from "./apply_refusal.ts";
import { applyRunEnd } from "./apply_run_end.ts";
import type { GroupOrder } from "./group_order.ts";
import { UnreadableJobs } from "./unreadable_jobs.ts";
import { UrgencyOrder } from "./urgency_order.ts";
import type { StartCommand } from "./start_command.ts";
import { stopEffectFor } from "./stop_effect_for.ts";
import { stopStuckRuns } from "./stop_stuck_runs.ts";
import type { Task } from "./task.ts";
import { sampleWorker } from "./sample_worker.ts";
import { PressureModel } from "../interfere/pressure_model.ts";
import type { PressureRow } from "../interfere/pressure_row.ts";
import { moveFillers } from "./move_fillers.ts";
import { Worker } from "./worker.ts";
import type { SidecarReport } from "./sidecar_report.ts";

type Effects = Generator<CellEffect, void>;

/** How often new checkpoints are saved. */
const checkpointSaveIntervalMs = 1_000;

/**
 * The jobs and workers of one cell. Every decision about a task's runs is made
 * here, from this cell's state alone, and yielded as an effect to carry out.
 */
export class Cell {
  readonly queues = new Map<string, Queue>();
  /** Whether the queues are those of a configuration; else nothing is placed. */
  isConfigured = true;
  readonly jobs = new Map<JobId, Job>();
  /** The jobs without an outcome. */
  readonly liveJobs = new Set<Job>();
  readonly unreadable = new UnreadableJobs();
  readonly workers = new Map<NodeId, Worker>();
  /** The data centres in which nothing may be started. */
  evacuatedZones: ReadonlySet<string> = new Set();
  /** Undefined if the deployment evacuates no data centres. */
  evacuationPlanner: EvacuationPlanner | undefined;
  readonly pressure = new PressureModel();
  readonly advice = new AdviceCache();
  /** Which waiting groups are placed first. */
  order: GroupOrder = new UrgencyOrder();
  readonly demand = new DemandIndex();
  readonly statistics: RunStatistics;
  /**
   * Whether runs are stopped to move. They would not run anywhere while the
   * store does not take their next claims.
   */
  mayMove = true;
  /** When it first decided, by the keeper's monotonic clock. */
  beganAtMs = Infinity;
  /** Jobs that are saved at the next interval. */
  readonly #unsavedJobs = new Set<Job>();
  #checkpointsSavedAtMs = -Infinity;
  readonly #learnedRows = new LearnedRows();
  readonly #moves = new RunMoves();

  constructor(readonly options: CellOptions) {
    this.statistics = new RunStatistics(options);
  }

  /** Adds a job, with its claims, as it was read from the store. */
  load(job: Job): void {
    this.jobs.set(job.definition.id, job);
    if (job.outcome === undefined) this.liveJobs.add(job);
    for (const task of job.tasks()) {
      if (task.claim !== undefined) this.worker(task.claim.node).addClaim(task);
    }
  }

  /** Adds what an earlier keeper learned; the jobs must be loaded already. */
  restoreLearned(row: PressureRow): void {
    this.pressure.restore(row);
    const live = new Set([...this.liveJobs].map((job) => job.definition.id));
    for (const [job] of row.loads) {
      if (!live.has(job as JobId)) this.pressure.forgetJob(job);
    }
  }

  /** Adds a new job; does nothing if its id is known. */
  *submit(definition: JobDefinition, wallMs: number): Effects {
    if (this.jobs.has(definition.id)) return;
    const job = new Job(definition);
    job.openDueOccurrences(wallMs);
    this.jobs.set(definition.id, job);
    this.liveJobs.add(job);
    yield { kind: "show", job: definition.id, state: job.state };
  }

  /** Cancels a job, unless it already has an outcome. */
  *cancel(id: JobId, nowMs: number): Effects {
    const job = this.jobs.get(id);
    if (job === undefined || job.outcome !== undefined) return;
    job.outcome = "cancelled";
    yield* this.finishJob(job, nowMs);
  }

  /** Handles the loss of the connection to a worker's sidecar. */
  handleDisconnect(node: NodeId): void {
    const worker = this.worker(node);
    worker.isReconciled = false;
    this.statistics.forgetSpeed(worker);
  }

  /**
   * Handles a sidecar's report: applies its run ends and reconciles the
   * worker's claims with its runs. From its first report on a connection, the
   * worker may get tasks.
   */
  *handleReport(node: NodeId, report: SidecarReport, nowMs: number): Effects {
    const worker = this.worker(node);
    if (worker.report?.life !== report.life) {
      yield* recordCrash(this, worker, report, "next_life", nowMs);
      worker.lastEnd = 0;
      worker.statuses.clear();
      this.statistics.forgetSpeed(worker);
    }
    worker.report = report;
    worker.reportedAtMs = nowMs;
    worker.isEvacuated = this.evacuatedZones.has(report.zone);
    const runs = new Map(report.running.map((run) => [run.task, run]));
    for (const refusal of report.refusals ?? []) {
      yield* applyRefusal(this, worker, refusal, nowMs);
    }
    yield* applyEnds(this, worker, report, nowMs);
    if (report.isLapsed) {
      yield* releaseLapsedClaims(this, worker, report, nowMs);
      return;
    }
    if (!report.isUp) {
      // The runner did not answer, so its list of runs may be out of date.
      worker.isReconciled = false;
      return;
    }
    yield* releaseClaimsOfOtherLives(this, worker, report, runs, nowMs);
    yield* reconcileRuns(this, worker, runs, nowMs);
    yield* this.statistics.observe(this, worker, runs, nowMs);
    worker.isReconciled = true;
    const isSampled = sampleWorker(worker, runs, this.pressure, nowMs);
    if (isSampled && this.mayMove) yield* moveFillers(this, worker, nowMs);
  }

  /** Releases a worker's claims, of which certainly nothing runs any more. */
  *handleWorkerLost(
    node: NodeId,
    nowMs: number,
    tasks: readonly Task[] = [...this.worker(node).claims.values()],
  ): Effects {
    const worker = this.worker(node);
    worker.isReconciled = false;
    for (const task of tasks) yield* this.releaseClaim(worker, task, nowMs);
  }

  /** Sets the data centres to evacuate, and withdraws the starts there. */
  *setEvacuations(zones: ReadonlySet<string>, nowMs: number): Effects {
    this.evacuatedZones = zones;
    for (const worker of this.workers.values()) {
      worker.isEvacuated = zones.has(worker.report?.zone ?? "");
      if (!worker.isEvacuated) continue;
      for (const task of [...worker.claims.values()]) {
        yield* stopUnseenStart(this, task, nowMs);
      }
    }
  }

  /** Marks a claimed run as running. */
  *markStarted(node: NodeId, run: RunId, nowMs: number): Effects {
    const worker = this.workers.get(node);
    const task = worker?.claimedTask(run.task, run.run);
    const claim = task?.claim;
    if (task === undefined || claim === undefined) return;
    worker!.endPendingStart(task);
    yield* this.noteBegun(task.group.job);
    if (claim.phase !== "starting") return;
    claim.hasBegun = true;
    claim.phase = "running";
    claim.phaseSinceMs = nowMs;
    claim.progressAtMs = nowMs;
  }

  /** Publishes, the first time, that a runner has begun a task of the job. */
  *noteBegun(job: Job): Effects {
    if (job.hasBegun) return;
    job.hasBegun = true;
    this.saveSoon(job);
    yield { kind: "show", job: job.definition.id, state: job.state };
  }

  /**
   * Marks a start, whose claim is stored, as ordered. Returns false if it must
   * not leave for its worker, since the claim has gone in the meantime.
   */
  markOrdered(node: NodeId, { task, run, life }: StartCommand): boolean {
    const claim = this.workers.get(node)?.claimedTask(task, run)?.claim;
    if (claim?.life !== life || claim.phase === "stopping") return false;
    claim.isOrdered = true;
    return true;
  }

  /**
   * Opens due occurrences, saves checkpoints, stops stuck runs, drains and
   * relieves workers and places waiting tasks.
   */
  *tick(nowMs: number, wallMs: number): Effects {
    this.beganAtMs = Math.min(this.beganAtMs, nowMs);
    yield* openDueOccurrences(this.liveJobs, wallMs);
    yield* this.#saveCheckpoints(nowMs);
    yield* this.#learnedRows.take(this, nowMs);
    yield* stopStuckRuns(this, nowMs);
    yield* this.#moves.plan(this, nowMs);
    yield* (this.options.place ?? placeWaitingTasks)(this, nowMs, wallMs);
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

  /** Releases a claim of a run that certainly is not active any more. */
  *releaseClaim(
    worker: Worker,
    task: Task,
    nowMs: number,
    outcome: "lapsed" | "stopped" = "lapsed",
  ): Effects {
    worker.removeClaim(task);
    const { name, run, checkpoint } = task;
    const end = { number: 0, task: name, run, outcome, checkpoint };
    yield* applyRunEnd(this, worker, task, end, nowMs);
  }

  /**
   * Records a task's newest checkpoint. It is saved at the next interval, since
   * a checkpoint that only the runner knows is lost with its machine.
   */
  recordCheckpoint(task: Task, checkpoint: string): void {
    if (checkpoint === "" || checkpoint === task.checkpoint) return;
    task.checkpoint = checkpoint;
    this.saveSoon(task.group.job);
  }

  /** Saves a job with the next checkpoints. */
  saveSoon(job: Job): void {
    this.#unsavedJobs.add(job);
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
  *finishJob(job: Job, nowMs: number): Effects {
    this.liveJobs.delete(job);
    this.pressure.forgetJob(job.definition.id);
    yield { kind: "save", job };
    yield { kind: "show", job: job.definition.id, state: job.state };
    for (const task of job.tasks()) yield* this.stopRun(task, job.state, nowMs);
  }

  /**
   * Stops a task's run, if it has one that is not being stopped yet. One whose
   * start has not left needs no stop, which would overtake the start.
   */
  *stopRun(task: Task, reason: string, nowMs: number): Effects {
    const { claim } = task;
    if (claim === undefined || claim.phase === "stopping") return;
    const worker = this.worker(claim.node);
    if (!claim.isOrdered) {
      yield* this.releaseClaim(worker, task, nowMs, "stopped");
      return;
    }
    claim.phase = "stopping";
    claim.phaseSinceMs = nowMs;
    yield stopEffectFor(worker, task.name, task.run, reason, claim.life);
  }
}
