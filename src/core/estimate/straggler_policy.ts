import type { Cell } from "../cell/cell.ts";
import type { CellEffect } from "../cell/cell_effect.ts";
import { chooseOtherWorker } from "../cell/choose_other_worker.ts";
import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";
import type { RunMeasure } from "./run_measure.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";
import { WorkBudget } from "./work_budget.ts";

/** Work lost by a restart: what was not saved, and loading the checkpoint. */
const restartMs = 700;
/** A run is a straggler once it needs this many times what its peers need. */
const stragglerFactor = 3;
/** A run is judged once it has worked for this share of its peers' time. */
const minWorkedShare = 0.4;
/** How long a slow worker is expected to remain slow. */
const slowForMs = 3_000;
/** Restarts of long tasks count for the share of those that helped. */
const triedHalfLife = 20;
/** Time until a stop shows in what is free elsewhere. */
const restartIntervalMs = 400;

/** A restart of a task. */
interface Restart {
  readonly atMs: number;
  /** How long the run would have taken yet. */
  readonly stayMs: number;
  /** Whether the run was long, and not its worker slow. */
  readonly isLong: boolean;
}

type Effects = Generator<CellEffect, void>;

/**
 * Restarts stragglers from their checkpoint on another worker that has room,
 * if that ends sooner: runs on a slow worker, and runs that take much longer
 * than their peers. Whether those are long on every worker is not known, so the
 * gain is weighed by the share of restarts that helped. A task is restarted
 * once, and the extra work is bounded.
 */
export class StragglerPolicy {
  readonly budget = new WorkBudget();
  readonly #restarted = new WeakMap<Task, Restart>();
  readonly #reportedAtMs = new WeakMap<Worker, number>();
  #restartedAtMs = -Infinity;
  #tried = 0;
  #helped = 0;

  constructor(readonly estimator: RunTimeEstimator) {}

  /** The expected share of restarts of long runs that help. */
  get helpShare(): number {
    return (this.#helped + 1) / (this.#tried + 2);
  }

  /** Handles a worker's report, which the estimator has observed already. */
  *observe(cell: Cell, worker: Worker, nowMs: number): Effects {
    this.#addWork(worker, nowMs);
    if (nowMs - this.#restartedAtMs < restartIntervalMs / cell.workers.size) {
      return;
    }
    let best: Task | undefined;
    let bestGainMs = restartMs;
    for (const task of worker.claims.values()) {
      const gainMs = this.#gainMs(worker, task, nowMs);
      if (gainMs <= bestGainMs) continue;
      best = task;
      bestGainMs = gainMs;
    }
    if (best === undefined) return;
    const target = chooseOtherWorker(cell, worker, best, nowMs, "strict");
    if (target === undefined || target.speed !== "normal") return;
    const { cpuMilli } = best.group.definition.resources;
    if (!this.budget.trySpend(restartMs * cpuMilli / 1_000, nowMs)) return;
    this.#restartedAtMs = nowMs;
    const stayMs = this.#stayMs(worker, best)!;
    const isLong = worker.speed === "normal";
    this.#restarted.set(best, { stayMs, atMs: nowMs, isLong });
    yield {
      kind: "note",
      event: "straggler_restarted",
      fields: {
        node: worker.node,
        task: best.name,
        run: best.run,
        worker: worker.speed,
        stay_ms: Math.round(stayMs),
        gain_ms: Math.round(bestGainMs),
        help_share: this.helpShare.toFixed(2),
      },
    };
    best.avoidedWorker = worker.node;
    yield* cell.stopRun(best, "straggler", nowMs);
  }

  /** Records that a task is done: whether its restart has helped. */
  *recordDone(task: Task, nowMs: number): Effects {
    const restart = this.#restarted.get(task);
    if (restart === undefined || !restart.isLong) return;
    const keep = 2 ** (-1 / triedHalfLife);
    const hasHelped = nowMs - restart.atMs < restart.stayMs / 2;
    this.#tried = this.#tried * keep + 1;
    this.#helped = this.#helped * keep + (hasHelped ? 1 : 0);
    yield {
      kind: "note",
      event: hasHelped ? "straggler_won" : "straggler_lost",
      fields: {
        task: task.name,
        run: task.run,
        took_ms: Math.round(nowMs - restart.atMs),
        stay_ms: Math.round(restart.stayMs),
      },
    };
  }

  /** The time that a restart of the task elsewhere is expected to save. */
  #gainMs(worker: Worker, task: Task, nowMs: number): number {
    const { definition } = task.group;
    if (!definition.savesProgress || definition.isService) return -Infinity;
    if (task.claim?.phase !== "running" || definition.isGang) return -Infinity;
    if (this.#restarted.has(task)) return -Infinity;
    const stayMs = this.#stayMs(worker, task);
    const measure = this.estimator.meter.measureOf(task);
    const peersMs = this.estimator.knownMs(task.group);
    if (stayMs === undefined || measure === undefined) return -Infinity;
    if (peersMs === undefined || nowMs - measure.atMs > 0) return -Infinity;
    const gainMs = stayMs - restMs(peersMs, measure) - restartMs;
    return worker.speed === "normal" ? gainMs * this.helpShare : gainMs;
  }

  /** The time until the run ends here; undefined if it is no straggler. */
  #stayMs(worker: Worker, task: Task): number | undefined {
    const measure = this.estimator.meter.measureOf(task);
    const peersMs = this.estimator.knownMs(task.group);
    if (measure === undefined || peersMs === undefined) return undefined;
    const { firstPercent, percent, workedMs } = measure;
    if (worker.speed !== "normal") {
      return restMs(peersMs, measure) + slowForMs;
    }
    if (workedMs < peersMs * minWorkedShare) return undefined;
    // The next percent may be almost reached.
    const ownMs = workedMs * 100 / (percent + 1 - firstPercent);
    if (ownMs < stragglerFactor * peersMs) return undefined;
    return restMs(ownMs, measure);
  }

  #addWork(worker: Worker, nowMs: number): void {
    const sinceMs = this.#reportedAtMs.get(worker) ?? nowMs;
    this.#reportedAtMs.set(worker, nowMs);
    let milli = 0;
    for (const task of worker.claims.values()) {
      const { isService, resources } = task.group.definition;
      const share = this.estimator.meter.measureOf(task)?.cpuShare ?? 0;
      if (!isService) milli += resources.cpuMilli * share;
    }
    this.budget.addWork(milli * (nowMs - sinceMs) / 1_000, nowMs);
  }
}

/** What remains of a task that takes the given time, at its full CPU. */
function restMs(timeMs: number, { percent }: RunMeasure): number {
  return timeMs * (1 - percent / 100);
}
