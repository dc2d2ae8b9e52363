import { Cell } from "../../src/core/cell/cell.ts";
import type { CellEffect } from "../../src/core/cell/cell_effect.ts";
import { decodeJob } from "../../src/core/cell/decode_job.ts";
import { encodeJob } from "../../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../../src/core/cell/job_progress_row.ts";
import type { PressureRow } from "../../src/core/interfere/pressure_row.ts";
import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { JobState } from "../../src/core/jobs/job_state.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { CellForecast } from "../../src/core/queueing/cell_forecast.ts";
import { SeededRandom } from "../seeded_random.ts";
import { InterferenceTruth } from "./interference_truth.ts";
import { ContentionOrder } from "../../src/core/queueing/contention_order.ts";
import { summarizeLoads } from "../../src/core/queueing/summarize_loads.ts";
import { LoadCallers } from "./load_callers.ts";
import { LoadEntries } from "./load_entries.ts";
import type { LoadOptions } from "./load_options.ts";
import type { LoadResult } from "./load_result.ts";
import { LoadWorker } from "./load_worker.ts";

const stepMs = 50;
/** The services start before the other callers come. */
const leadMs = 5_000;
/** Jobs that end this long after the last submission still count. */
const finishMs = 14_000;
/** How long workers are without power. */
const darkMs = 1_600;
/** From the restart of all processes to the first reports. */
const restartMs = 600;
const reportSpreadMs = 450;
/** Harm by fillers costs this many times what it lasts. */
const harmFactor = 4;
const maxAttempts = 4;
const worstWindowMs = 5_000;

/**
 * Plays a load on virtual time: the deployed cell and pace decisions, on
 * workers whose tasks disturb each other. Steps are coarse, and the store, the
 * network and the gate are left out, so figures serve to compare decisions.
 */
export class LoadModel {
  readonly #callers: LoadCallers;
  readonly #workers = new Map<NodeId, LoadWorker>();
  readonly #rows = new Map<JobId, JobProgressRow>();
  #learned: PressureRow | undefined;
  #cell: Cell;
  #nowMs = -leadMs;
  readonly #entries: LoadEntries;
  #stops = 0;
  #refusedRuns = 0;
  #forecast = new CellForecast();
  readonly #forecastErrorsMs: number[] = [];
  readonly #service = { owedMs: 0, awayMs: 0 };
  /** The time of services over target, for each step. */
  readonly #overMs: number[] = [];

  constructor(readonly options: LoadOptions) {
    const random = new SeededRandom(options.seed);
    const truth = new InterferenceTruth(options, random);
    this.#callers = new LoadCallers(options, random);
    for (let index = 0; index < options.workers; index++) {
      const node = `w${index}` as NodeId;
      const factor = index % 3 === 2 ? 1.5 : 1;
      const cpuMilli = options.workerCpuMilli * factor;
      const firstReportAtMs = this.#nowMs + random.next() * reportSpreadMs;
      const worker = new LoadWorker(node, cpuMilli, truth, firstReportAtMs);
      this.#workers.set(node, worker);
    }
    this.#cell = newCell(options);
    const origins = options.parties.map(({ origin }) => origin);
    const entryNames = origins.length === 0 ? [""] : origins;
    this.#entries = new LoadEntries(entryNames, this.#cell.queues.values());
    if (options.knowsPressures) this.#cell.restoreLearned(truth.encode());
  }

  /** Plays the whole load. */
  run(): LoadResult {
    for (const job of this.#callers.firstJobs()) {
      this.#apply(this.#cell.submit(job, this.#nowMs));
    }
    const { durationMs } = this.options;
    while (this.#nowMs < durationMs + finishMs) this.#step();
    const { owedMs, awayMs } = this.#service;
    const overMs = sum(this.#overMs);
    let wastedCoreMs = 0;
    for (const worker of this.#workers.values()) {
      wastedCoreMs += worker.wastedCoreMs;
    }
    const lostMs = awayMs + overMs * harmFactor;
    const { admitted, refusedWithFree } = this.#entries;
    const isAdmitted = (id: JobId) => admitted.has(id);
    const resultOf = (kind: "plan" | "check", origin?: string) =>
      this.#callers.result(kind, durationMs, isAdmitted, origin);
    return {
      plans: resultOf("plan"),
      checks: resultOf("check"),
      services: {
        owedS: owedMs / 1_000,
        awayS: awayMs / 1_000,
        overTargetS: overMs / 1_000,
        worstOverTargetS: worstWindow(this.#overMs) / 1_000,
        worth: Math.max(0, 1 - lostMs / Math.max(1, owedMs)),
      },
      wastedCoreS: wastedCoreMs / 1_000,
      stops: this.#stops,
      forecastErrorsMs: this.#forecastErrorsMs,
      plansByParty: Object.fromEntries(
        this.options.parties.map(({ origin }) =>
          [origin, resultOf("plan", origin)] as const
        ),
      ),
      refusedWithFree,
      refusedRuns: this.#refusedRuns,
    };
  }

  #step(): void {
    const nowMs = this.#nowMs;
    const { keeperChangesAtMs, powerLossesAtMs, durationMs } = this.options;
    if (powerLossesAtMs.some((atMs) => this.#isAt(atMs))) this.#losePower();
    if (powerLossesAtMs.some((atMs) => this.#isAt(atMs + darkMs))) {
      this.#restorePower();
    }
    const isNewKeeper = keeperChangesAtMs.some((atMs) => this.#isAt(atMs)) ||
      powerLossesAtMs.some((atMs) => this.#isAt(atMs + darkMs + restartMs));
    if (isNewKeeper) this.#changeKeeper();
    const isDark = powerLossesAtMs.some((atMs) =>
      nowMs >= atMs && nowMs < atMs + darkMs + restartMs
    );
    if (nowMs >= 0) {
      const isOpen = nowMs < durationMs;
      const jobs = isOpen ? this.#callers.submissions(nowMs, stepMs) : [];
      if (isDark) { for (const job of jobs) this.#entries.store(job); }
      else {for (const job of this.#entries.offer(jobs, nowMs)) {
          this.#submit(job);
        }}
    }
    for (const worker of this.#workers.values()) worker.step(nowMs, stepMs);
    if (!isDark) this.#decide();
    if (nowMs >= 0 && nowMs < durationMs) this.#countServices();
    this.#nowMs += stepMs;
  }

  #submit(job: JobDefinition): void {
    const nowMs = this.#nowMs;
    if (this.options.checksForecast) {
      this.#forecast.noteSubmitted(this.#cell, job, nowMs);
    }
    this.#apply(this.#cell.submit(job, nowMs));
  }

  #isAt(atMs: number): boolean {
    return this.#nowMs >= atMs && this.#nowMs < atMs + stepMs;
  }

  #decide(): void {
    const nowMs = this.#nowMs;
    for (const worker of this.#workers.values()) {
      const report = worker.takeReport(nowMs);
      if (report === undefined) continue;
      this.#apply(this.#cell.handleReport(worker.node, report, nowMs));
      worker.renew(this.#cell);
    }
    this.#updateForecast();
    this.#apply(this.#cell.tick(nowMs, nowMs));
  }

  #updateForecast(): void {
    const { checksForecast, admits } = this.options;
    const nowMs = this.#nowMs;
    if (!checksForecast && !admits) return;
    const isNew = this.#forecast.update(this.#cell, nowMs, nowMs);
    if (!isNew || !admits) return;
    this.#entries.receive(summarizeLoads(this.#forecast.loads, nowMs), nowMs);
  }

  /** All runs and the keeper are lost; the store keeps its rows. */
  #losePower(): void {
    for (const worker of this.#workers.values()) worker.losePower();
  }

  /** The workers report again one after the other. */
  #restorePower(): void {
    let index = 0;
    for (const worker of this.#workers.values()) {
      const spreadMs = reportSpreadMs * index / this.#workers.size;
      worker.restorePower(this.#nowMs + restartMs + spreadMs);
      index += 1;
    }
  }

  #changeKeeper(): void {
    this.#cell = newCell(this.options);
    for (const [id, { definition, kind }] of this.#callers.jobs) {
      const stored = this.#entries.admitted.get(id);
      if (stored === undefined && kind !== "service") continue;
      const row = this.#rows.get(id);
      const job = decodeJob(stored ?? definition, row, this.#nowMs);
      this.#cell.load(job);
    }
    for (const job of this.#cell.liveJobs) job.openDueOccurrences(this.#nowMs);
    const { keepsLearned } = this.options;
    if (keepsLearned && this.#learned !== undefined) {
      this.#cell.restoreLearned(this.#learned);
    }
  }

  #apply(effects: Iterable<CellEffect>): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case "save":
          this.#rows.set(effect.job.definition.id, encodeJob(effect.job));
          break;
        case "learned":
          this.#learned = effect.row;
          break;
        case "start": {
          const { command, node } = effect;
          if (!this.#cell.markOrdered(node, command)) break;
          const { job, step } = parseTaskName(command.task)!;
          const { truths, kind } = this.#callers.jobs.get(job)!;
          const isAdmitted = this.#entries.admitted.has(job);
          if (kind !== "service" && !isAdmitted) this.#refusedRuns += 1;
          const truth = truths[step]!;
          this.#workers.get(node)?.start(command, truth, this.#nowMs);
          break;
        }
        case "stop":
          this.#stops += 1;
          this.#workers.get(effect.node)?.stop(effect.task, effect.run);
          break;
        case "show":
          this.#checkForecast(effect.job, effect.state);
          if (effect.state === "completed") {
            this.#callers.complete(effect.job, this.#nowMs);
          }
          break;
      }
    }
  }

  #checkForecast(id: JobId, state: JobState): void {
    const error = this.#forecast.noteState(id, state, this.#nowMs);
    if (error?.queue === "plan") this.#forecastErrorsMs.push(error.lateMs);
  }

  #countServices(): void {
    const { jobs, width } = this.options.services;
    const owed = jobs * width;
    let well = 0;
    let over = 0;
    for (const worker of this.#workers.values()) {
      for (const run of worker.runs.values()) {
        if (!run.command.isService) continue;
        if (run.isOver) over += 1;
        else if (worker.isServingWell(run, this.#nowMs)) well += 1;
      }
    }
    this.#service.owedMs += owed * stepMs;
    this.#overMs.push(over * stepMs);
    this.#service.awayMs += (owed - well - over) * stepMs;
  }
}

/** The largest sum of consecutive values that a worst window holds. */
function worstWindow(values: readonly number[]): number {
  const size = worstWindowMs / stepMs;
  let worst = 0;
  for (let from = 0; from + size <= values.length; from += 1) {
    worst = Math.max(worst, sum(values.slice(from, from + size)));
  }
  return worst;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function newCell({ sharesFairly }: LoadOptions): Cell {
  const cell = new Cell({ stuckFactor: 0.5, stuckMinMs: 1_800 });
  if (sharesFairly) cell.order = new ContentionOrder();
  const kinds = [
    { name: "service", priority: 0, stretch: 2.2, targetMs: 2_500 },
    { name: "check", priority: 0, stretch: 1.5, targetMs: 250 },
    { name: "plan", priority: 2, stretch: 2, targetMs: 1_000 },
  ];
  for (const kind of kinds) {
    cell.queues.set(kind.name, {
      ...kind,
      pool: "pool",
      maxAttempts,
      advice: undefined,
    });
  }
  return cell;
}
