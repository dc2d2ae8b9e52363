import type { Cell } from "../../src/core/cell/cell.ts";
import type { SidecarReport } from "../../src/core/cell/sidecar_report.ts";
import type { StartCommand } from "../../src/core/cell/start_command.ts";
import type { FillerSample } from "../../src/core/interfere/filler_sample.ts";
import { PaceCalculator } from "../../src/core/interfere/pace_calculator.ts";
import type { ServiceSample } from "../../src/core/interfere/service_sample.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { RunnerLife } from "../../src/core/jobs/runner_life.ts";
import type { RunStatus } from "../../src/core/jobs/run_status.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import { servicePressures } from "../../src/cellhost/service_pressures.ts";
import type { ServicePressure } from "../../src/link/service_pressure.ts";
import type { InterferenceTruth } from "./interference_truth.ts";
import type { TaskTruth } from "./task_truth.ts";

interface LoadRun {
  readonly command: StartCommand;
  readonly truth: TaskTruth;
  readonly startedAtMs: number;
  /** The work that the run began with. */
  readonly firstDoneMs: number;
  doneMs: number;
  savedMs: number;
  pace: number;
  isOver: boolean;
  /** A service's latency in ms, or a filler's CPU use, in each recent step. */
  readonly recent: number[];
}

const reportIntervalMs = 450;
const paceIntervalMs = 350;
/** A service is at work this long after its start. */
const serviceStartupMs = 400;
const checkpointIntervalMs = 1_000;
const restoreMs = 250;
/** A service's latency when idle. */
const idleLatencyMs = 4;
const maxLoad = 0.98;
/** Figures are means over this time. */
const figureWindowMs = 500;
const defaultFloor = 0.25;
const bytesPerWorker = 2 ** 40;

/** A worker with its runner and gate: runs tasks that disturb each other. */
export class LoadWorker {
  readonly runs = new Map<TaskName, LoadRun>();
  /** The work of runs that were thrown away, in milliseconds of one core. */
  wastedCoreMs = 0;
  /** The work done by fillers and checks, in milliseconds of one core. */
  workedCoreMs = 0;
  /** How many times slower its runs are at a time. */
  slowdownAt: (nowMs: number) => number = () => 1;
  isUp = true;
  #ends: RunEnd[] = [];
  #endNumber = 0;
  #life = 1;
  #reportedAtMs: number;
  #pacedAtMs = 0;
  readonly #pace = new PaceCalculator();
  #pressures: readonly ServicePressure[] = [];

  constructor(
    readonly node: NodeId,
    readonly cpuMilli: number,
    readonly truth: InterferenceTruth,
    firstReportAtMs: number,
    readonly zone: string,
  ) {
    this.#reportedAtMs = firstReportAtMs - reportIntervalMs;
  }

  start(command: StartCommand, truth: TaskTruth, nowMs: number): void {
    if (!this.isUp || this.runs.has(command.task)) return;
    const savedMs = Number(command.checkpoint || 0);
    const firstDoneMs = savedMs - (savedMs > 0 ? restoreMs : 0);
    this.runs.set(command.task, {
      command,
      truth,
      startedAtMs: nowMs,
      firstDoneMs,
      doneMs: firstDoneMs,
      savedMs,
      pace: 100,
      isOver: false,
      recent: [],
    });
  }

  stop(task: TaskName, run: number): void {
    const found = this.runs.get(task);
    if (found?.command.run !== run) return;
    found.savedMs = Math.max(found.savedMs, found.doneMs);
    this.#end(found, "stopped");
  }

  /** Ends all runs, and loses what they have not saved. */
  losePower(): void {
    for (const { command, doneMs, savedMs } of this.runs.values()) {
      if (command.isService) continue;
      const lostMs = Math.max(0, doneMs - savedMs);
      this.wastedCoreMs += lostMs * command.resources.cpuMilli / 1_000;
    }
    this.runs.clear();
    this.#ends = [];
    this.#endNumber = 0;
    this.#life += 1;
    this.#pace.reset();
    this.#pressures = [];
    this.isUp = false;
  }

  /** Restores power; the first report comes at the given time. */
  restorePower(firstReportAtMs: number): void {
    this.isUp = true;
    this.#reportedAtMs = firstReportAtMs - reportIntervalMs;
  }

  /** Advances all runs by a step and sets the paces when due. */
  step(nowMs: number, stepMs: number): void {
    const uses = this.#fillerUses(nowMs);
    const workMs = stepMs / this.slowdownAt(nowMs);
    for (const run of [...this.runs.values()]) {
      const { command, truth } = run;
      if (command.isService) this.#serve(run, uses, nowMs, stepMs);
      else if (command.isFiller) {
        const used = uses.get(run) ?? 0;
        record(run, used, stepMs);
        this.#work(run, workMs * used / command.resources.cpuMilli);
      } else this.#work(run, workMs);
      const saves = Math.floor(run.doneMs / checkpointIntervalMs);
      if (command.isFiller) {
        run.savedMs = Math.max(run.savedMs, saves * checkpointIntervalMs);
      }
      const { failsAfterMs = Infinity } = truth;
      const isDone = !command.isService && run.doneMs >= truth.workMs;
      if (run.doneMs - run.firstDoneMs >= failsAfterMs) {
        this.#end(run, "failed");
      } else if (isDone) this.#end(run, "done");
    }
    if (nowMs - this.#pacedAtMs < paceIntervalMs) return;
    this.#pacedAtMs = nowMs;
    this.#updatePaces(nowMs);
  }

  /** The report that is due, if one is. */
  takeReport(nowMs: number): SidecarReport | undefined {
    const isDue = nowMs - this.#reportedAtMs >= reportIntervalMs ||
      this.#ends.length > 0;
    if (!this.isUp || !isDue) return undefined;
    this.#reportedAtMs = nowMs;
    return {
      life: `${this.node}@${this.#life}` as RunnerLife,
      pool: "pool",
      zone: this.zone,
      rack: "r",
      labels: [],
      capacity: {
        cpuMilli: this.cpuMilli,
        memoryBytes: bytesPerWorker,
        accelerators: 0,
      },
      isDraining: false,
      isUp: true,
      isLapsed: false,
      running: [...this.runs.values()].map(statusOf),
      ends: this.#ends.splice(0),
      unexplained: 0,
      unsettled: [],
    };
  }

  /** Takes over what the keeper has learned, as a renewal brings it. */
  renew(cell: Cell): void {
    this.#pressures = servicePressures(cell.worker(this.node), cell.pressure);
  }

  /** Whether a service is at work and within its target. */
  isServingWell(run: LoadRun, nowMs: number): boolean {
    return nowMs - run.startedAtMs >= serviceStartupMs && !run.isOver;
  }

  /** What each filler uses now: its share of what the other runs leave. */
  #fillerUses(nowMs: number): Map<LoadRun, number> {
    let unusedMilli = this.cpuMilli;
    let wantedMilli = 0;
    for (const { command, truth, pace } of this.runs.values()) {
      const { cpuMilli } = command.resources;
      if (command.isFiller) wantedMilli += cpuMilli * pace / 100;
      else if (command.isService) {
        unusedMilli -= cpuMilli * truth.callerLoad(nowMs);
      } else unusedMilli -= cpuMilli;
    }
    const share = Math.min(
      1,
      Math.max(0, unusedMilli) / Math.max(1, wantedMilli),
    );
    const uses = new Map<LoadRun, number>();
    for (const run of this.runs.values()) {
      const { command, pace } = run;
      if (!command.isFiller) continue;
      uses.set(run, command.resources.cpuMilli * share * pace / 100);
    }
    return uses;
  }

  #work(run: LoadRun, workMs: number): void {
    run.doneMs += workMs / (run.truth.timeFactor ?? 1);
    this.workedCoreMs += workMs * run.command.resources.cpuMilli / 1_000;
  }

  #serve(
    run: LoadRun,
    uses: ReadonlyMap<LoadRun, number>,
    nowMs: number,
    stepMs: number,
  ): void {
    const { image = "", targetLatencyMs } = run.command;
    let load = run.truth.callerLoad(nowMs);
    for (const [filler, used] of uses) {
      const pressure = this.truth.pressureOf(image, filler.command.image ?? "");
      load += pressure * used / this.cpuMilli;
    }
    const latencyMs = idleLatencyMs / (1 - Math.min(maxLoad, load));
    record(run, latencyMs, stepMs);
    run.isOver = latencyMs > targetLatencyMs;
  }

  #updatePaces(nowMs: number): void {
    const services: ServiceSample[] = [];
    const fillers = new Map<string, FillerSample>();
    for (const run of this.runs.values()) {
      const { isFiller, isService, image = "", targetLatencyMs, resources } =
        run.command;
      if (isService) {
        const known = this.#pressures.find(({ service }) => service === image);
        services.push({
          part: figureOf(run) / targetLatencyMs,
          floor: known?.floor ?? defaultFloor,
          pressures: new Map(known?.fillers ?? []),
        });
      } else if (isFiller) {
        const { used = 0, asked = 0 } = fillers.get(image) ?? {};
        fillers.set(image, {
          image,
          used: used + figureOf(run) / this.cpuMilli,
          asked: asked + resources.cpuMilli / this.cpuMilli,
        });
      }
    }
    this.#pace.update(services, [...fillers.values()], nowMs);
    for (const run of this.runs.values()) {
      if (!run.command.isFiller) continue;
      run.pace = this.#pace.paceOf(run.command.image ?? "");
    }
  }

  #end({ command, savedMs }: LoadRun, outcome: RunEnd["outcome"]): void {
    this.runs.delete(command.task);
    this.#endNumber += 1;
    this.#ends.push({
      number: this.#endNumber,
      task: command.task,
      run: command.run,
      outcome,
      checkpoint: outcome === "stopped" && savedMs > 0 ? `${savedMs}` : "",
    });
  }
}

function record(run: LoadRun, value: number, stepMs: number): void {
  run.recent.push(value);
  if (run.recent.length > figureWindowMs / stepMs) run.recent.shift();
}

function figureOf({ recent }: LoadRun): number {
  let sum = 0;
  for (const value of recent) sum += value;
  return Math.round(sum / Math.max(1, recent.length));
}

function statusOf(run: LoadRun): RunStatus {
  const { command, truth, doneMs, savedMs } = run;
  const progress = Math.floor(100 * Math.max(0, doneMs) / truth.workMs);
  return {
    task: command.task,
    run: command.run,
    checkpoint: savedMs > 0 ? `${savedMs}` : "",
    percent: command.isService ? 100 : progress,
    figure: figureOf(run),
  };
}
