import { Cell } from "../../src/core/cell/cell.ts";
import type { CellEffect } from "../../src/core/cell/cell_effect.ts";
import { decodeJob } from "../../src/core/cell/decode_job.ts";
import { encodeJob } from "../../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../../src/core/cell/job_progress_row.ts";
import type { RunTimeRow } from "../../src/core/estimate/run_time_row.ts";
import type { PressureRow } from "../../src/core/interfere/pressure_row.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { EvacuationPlanner } from "../../src/core/evacuate/evacuation_planner.ts";
import { SeededRandom } from "../seeded_random.ts";
import { InterferenceTruth } from "./interference_truth.ts";
import { LoadCallers } from "./load_callers.ts";
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
  #stops = 0;
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
    return {
      plans: this.#callers.result("plan", durationMs),
      checks: this.#callers.result("check", durationMs),
      services: {
        owedS: owedMs / 1_000,
        awayS: awayMs / 1_000,
        overTargetS: overMs / 1_000,
        worstOverTargetS: worstWindow(this.#overMs) / 1_000,
        worth: Math.max(0, 1 - lostMs / Math.max(1, owedMs)),
      },
      extraCoreS: this.#extraCoreMs / 1_000,
      wastedCoreS: wastedCoreMs / 1_000,
      workedCoreS: workedCoreMs / 1_000,
      stops: this.#stops,
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
    if (nowMs >= 0 && nowMs < durationMs) {
      for (const job of this.#callers.submissions(nowMs, stepMs)) {
        if (isDark) this.#rows.delete(job.id);
        else this.#apply(this.#cell.submit(job, nowMs));
      }
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

  #evacuate(sinceMs: number): void {
    if (this.#cell.evacuatedZones.size === 0) {
      this.#cell.evacuationPlanner = new EvacuationPlanner(evacuateMs);
      this.#apply(this.#cell.setEvacuations(new Set([evacuated]), this.#nowMs));
    }
    const left = this.#evacuatedRuns();
    if (left > 0) this.#clearedAfterMs = sinceMs + stepMs;
    if (sinceMs <= measuredMs) this.#leftInEvacuated = left;
  }

  #evacuatedRuns(): number {
    return sum(
      [...this.#workers.values()].filter(({ zone }) => zone === evacuated)
        .map(({ runs }) => runs.size),
    );
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
    this.#apply(this.#cell.tick(nowMs, nowMs));
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
    for (const [id, { definition }] of this.#callers.jobs) {
      const row = this.#rows.get(id);
      this.#cell.load(decodeJob(definition, row, this.#nowMs));
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
          if (effect.state === "completed") {
            this.#callers.complete(effect.job, this.#nowMs);
          }
          break;
      }
    }
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

function newCell({ cell: change, uneven }: LoadOptions): Cell {
  const cell = new Cell({ stuckFactor: 0.5, stuckMinMs: 1_800, ...change });
  const kinds = [
    { name: "service", priority: 0, stretch: 2.2, targetMs: 2_500 },
    { name: "check", priority: 0, stretch: 1.5, targetMs: 250 },
    { name: "plan", priority: 2, stretch: 2, targetMs: 1_000 },
  ];
  for (const kind of kinds) {
    cell.queues.set(kind.name, {
      ...kind,
      pool: "pool",
      maxAttempts: uneven?.maxAttempts ?? maxAttempts,
      advice: undefined,
    });
  }
  return cell;
}
