import { Cell } from "../../src/core/cell/cell.ts";
import type { CellEffect } from "../../src/core/cell/cell_effect.ts";
import { decodeJob } from "../../src/core/cell/decode_job.ts";
import { encodeJob } from "../../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../../src/core/cell/job_progress_row.ts";
import type { RunTimeRow } from "../../src/core/estimate/run_time_row.ts";
import type { PressureRow } from "../../src/core/interfere/pressure_row.ts";
import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { JobState } from "../../src/core/jobs/job_state.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { CellForecast } from "../../src/core/queueing/cell_forecast.ts";
import { EvacuationPlanner } from "../../src/core/evacuate/evacuation_planner.ts";
import { SeededRandom } from "../seeded_random.ts";
import { InterferenceTruth } from "./interference_truth.ts";
import { summarizeLoads } from "../../src/core/queueing/summarize_loads.ts";
import { LoadCallers } from "./load_callers.ts";
import { LoadEntries } from "./load_entries.ts";
import type { LoadOptions } from "./load_options.ts";
import type { LoadResult } from "./load_result.ts";
import { LoadWorker } from "./load_worker.ts";
import { countRunsIn } from "./count_runs_in.ts";
import { countServices } from "./count_services.ts";
import { newCell } from "./new_cell.ts";
import { sum } from "./sum.ts";
import { worstWindow } from "./worst_window.ts";

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
/** The work to load a checkpoint. */
const restoreMs = 250;
const worstWindowMs = 5_000;
const evacuateMs = 5_000;
const evacuated = "z0";
const measuredMs = 5_000;

/**
 * Plays a load on virtual time: the deployed cell and pace decisions, on
 * workers whose tasks disturb each other. Steps are coarse, and the store, the
 * network and the gate are left out, so figures serve to compare decisions.
 */
export class LoadModel {
  /** What the cell has noted, by worker. */
  readonly notes: { event: string; node: string; atMs: number }[] = [];
  readonly #callers: LoadCallers;
  readonly #workers = new Map<NodeId, LoadWorker>();
  readonly #rows = new Map<JobId, JobProgressRow>();
  #learned: PressureRow | undefined;
  #runTimes: RunTimeRow | undefined;
  #cell: Cell;
  #nowMs = -leadMs;
  readonly #entries: LoadEntries;
  #stops = 0;
  #refusedRuns = 0;
  #forecast = new CellForecast();
  readonly #forecastErrorsMs: number[] = [];
  #clearedAfterMs = 0;
  #leftInEvacuated = 0;
  #extraCoreMs = 0;
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
      const zone = `z${index % (options.evacuation?.zoneCount ?? 1)}`;
      const worker = new LoadWorker(
        node,
        cpuMilli,
        truth,
        firstReportAtMs,
        zone,
      );
      worker.slowdownAt = (nowMs) =>
        this.#callers.uneven.slowdownAt(node, nowMs);
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
    const workers = [...this.#workers.values()];
    const wastedCoreMs = sum(workers.map((each) => each.wastedCoreMs));
    const workedCoreMs = sum(workers.map((each) => each.workedCoreMs));
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
        worstOverTargetS: worstWindow(this.#overMs, worstWindowMs / stepMs) /
          1_000,
        worth: Math.max(0, 1 - lostMs / Math.max(1, owedMs)),
      },
      extraCoreS: this.#extraCoreMs / 1_000,
      wastedCoreS: wastedCoreMs / 1_000,
      workedCoreS: workedCoreMs / 1_000,
      stops: this.#stops,
      forecastErrorsMs: this.#forecastErrorsMs,
      plansByParty: Object.fromEntries(
        this.options.parties.map(({ origin }) =>
          [origin, resultOf("plan", origin)] as const
        ),
      ),
      refusedWithFree,
      refusedRuns: this.#refusedRuns,
      evacuation: {
        clearedAfterMs: this.#clearedAfterMs,
        leftAfter5s: this.#leftInEvacuated,
      },
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
    const { evacuation } = this.options;
    if (evacuation !== undefined && nowMs >= evacuation.atMs) {
      this.#evacuate(nowMs - evacuation.atMs);
    }
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

  #evacuate(sinceMs: number): void {
    if (this.#cell.evacuatedZones.size === 0) {
      this.#cell.evacuationPlanner = new EvacuationPlanner(evacuateMs);
      this.#apply(this.#cell.setEvacuations(new Set([evacuated]), this.#nowMs));
    }
    const left = countRunsIn(evacuated, this.#workers.values());
    if (left > 0) this.#clearedAfterMs = sinceMs + stepMs;
    if (sinceMs <= measuredMs) this.#leftInEvacuated = left;
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
    if (keepsLearned) this.#cell.statistics.restore(this.#runTimes);
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
        case "runTimes":
          this.#runTimes = effect.row;
          break;
        case "note": {
          const { event, fields } = effect;
          const node = `${fields.node ?? ""}`;
          this.notes.push({ event, node, atMs: this.#nowMs });
          break;
        }
        case "start": {
          const { command, node } = effect;
          if (!this.#cell.markOrdered(node, command)) break;
          const { job } = parseTaskName(command.task)!;
          const { kind } = this.#callers.jobs.get(job)!;
          const isAdmitted = this.#entries.admitted.has(job);
          if (kind !== "service" && !isAdmitted) this.#refusedRuns += 1;
          const truth = this.#callers.truthOf(command.task, command.run);
          if (command.checkpoint !== "") {
            this.#extraCoreMs += restoreMs * command.resources.cpuMilli / 1_000;
          }
          const isFailing = truth.workMs < Infinity &&
            this.#callers.uneven.isFailing(node, this.#nowMs);
          const runTruth = isFailing ? { ...truth, failsAfterMs: 0 } : truth;
          this.#workers.get(node)?.start(command, runTruth, this.#nowMs);
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
    const { well, over } = countServices(this.#workers.values(), this.#nowMs);
    this.#service.owedMs += owed * stepMs;
    this.#overMs.push(over * stepMs);
    this.#service.awayMs += (owed - well - over) * stepMs;
  }
}
