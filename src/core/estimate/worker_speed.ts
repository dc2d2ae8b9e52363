import type { Cell } from "../cell/cell.ts";
import type { CellEffect } from "../cell/cell_effect.ts";
import type { Worker } from "../cell/worker.ts";
import { RunSpeeds } from "./run_speeds.ts";
import type { RunTimeEstimator } from "./run_time_estimator.ts";

/** Below this share of the usual speed a report is evidence of slowness. */
const slowBelow = 0.4;
/** From this share on it is evidence of the usual speed. */
const normalFrom = 0.6;
/** So many reports in a row make a worker slow, or usual again. */
const reportsToDecide = 2;
/** Without evidence for this long, a slow worker is probed. */
const probeAfterMs = 2_000;
/** At most this share of the workers is avoided at once. */
const maxAvoidedShare = 1 / 3;
/** Speeds older than this do not count for the usual speed. */
const speedAgeMs = 2_000;
const usualIntervalMs = 400;

interface Suspicion {
  /** The speed last sampled, against the usual one. */
  ratio: number;
  /** The reports in a row that were evidence of the opposite of the state. */
  contraryReports: number;
  evidenceAtMs: number;
  isSuspect: boolean;
  speed: number;
  sampledAtMs: number;
}

type Effects = Generator<CellEffect, void>;

/**
 * Detects workers on which everything runs slowly for some seconds, from the
 * progress of their runs against that of the same kinds elsewhere. A single
 * slow run is no evidence unless it was faster before: its task may be long.
 * It relies on monotonic time only, and gaps between reports don't count.
 */
export class WorkerSpeed {
  readonly #suspicions = new Map<Worker, Suspicion>();
  readonly #speeds: RunSpeeds;
  #usualSpeed = 1;
  #usualAtMs = -Infinity;

  constructor(estimator: RunTimeEstimator) {
    this.#speeds = new RunSpeeds(estimator);
  }

  /** How many workers are suspected of being slow. */
  get suspectCount(): number {
    let count = 0;
    for (const { isSuspect } of this.#suspicions.values()) {
      if (isSuspect) count += 1;
    }
    return count;
  }

  /** Forgets a worker whose sidecar or runner begins anew. */
  forget(worker: Worker): void {
    this.#suspicions.delete(worker);
    worker.speed = "normal";
  }

  /** Handles a worker's report, which the estimator has observed already. */
  *observe(cell: Cell, worker: Worker, nowMs: number): Effects {
    const suspicion = this.#suspicionOf(worker);
    const sampled = this.#sample(worker);
    if (sampled !== undefined) {
      this.#updateUsual(nowMs);
      suspicion.speed = sampled.speed;
      suspicion.sampledAtMs = nowMs;
      suspicion.ratio = sampled.speed / this.#usualSpeed;
      const { isSuspect, ratio } = suspicion;
      if (ratio < slowBelow || ratio >= normalFrom) {
        const isContrary = isSuspect !== ratio < slowBelow;
        suspicion.contraryReports = isContrary
          ? suspicion.contraryReports + 1
          : 0;
        suspicion.evidenceAtMs = nowMs;
      }
    }
    if (suspicion.contraryReports >= reportsToDecide) {
      suspicion.contraryReports = 0;
      suspicion.isSuspect = !suspicion.isSuspect;
      const event = suspicion.isSuspect ? "worker_slow" : "worker_recovered";
      yield {
        kind: "note",
        event,
        fields: {
          node: worker.node,
          ratio: suspicion.ratio.toFixed(2),
          usual: this.#usualSpeed.toFixed(2),
          runs: sampled?.count ?? 0,
        },
      };
      if (!suspicion.isSuspect) worker.recoveredAtMs = nowMs;
    }
    this.#assignStates(cell, nowMs);
  }

  /** The median speed of a worker's runs; undefined if it shows nothing. */
  #sample(worker: Worker): { speed: number; count: number } | undefined {
    const samples: [speed: number, weight: number][] = [];
    let ownSpeed: number | undefined;
    let weightMs = 0;
    for (const task of worker.claims.values()) {
      const sample = this.#speeds.sample(task, worker.speed !== "normal");
      if (sample === undefined) continue;
      samples.push([sample.speed, sample.weightMs]);
      weightMs += sample.weightMs;
      ownSpeed = sample.ownSpeed;
    }
    const count = samples.length;
    if (count === 0) return undefined;
    if (count === 1) {
      const speed = samples[0]![0];
      if (speed >= normalFrom) return { speed, count };
      return ownSpeed === undefined ? undefined : { speed: ownSpeed, count };
    }
    samples.sort(([a], [b]) => a - b);
    let below = 0;
    const median = samples.find(([, weight]) =>
      (below += weight) > weightMs / 2
    );
    return { speed: median?.[0] ?? 1, count };
  }

  /** Avoids the slowest suspects, and as many as the share allows. */
  #assignStates({ workers }: Cell, nowMs: number): void {
    const suspects: [Worker, Suspicion][] = [];
    for (const entry of this.#suspicions) {
      if (entry[1].isSuspect) suspects.push(entry);
      else entry[0].speed = "normal";
    }
    suspects.sort(([, a], [, b]) => a.ratio - b.ratio);
    let upCount = 0;
    for (const { isReconciled } of workers.values()) {
      if (isReconciled) upCount += 1;
    }
    const maxAvoided = Math.floor(upCount * maxAvoidedShare);
    suspects.forEach(([worker, { evidenceAtMs }], index) => {
      if (index >= maxAvoided) worker.speed = "normal";
      else if (nowMs - evidenceAtMs >= probeAfterMs) worker.speed = "probing";
      else worker.speed = "slow";
    });
  }

  /** Sets the usual speed to the median of the workers' newest speeds. */
  #updateUsual(nowMs: number): void {
    if (nowMs - this.#usualAtMs < usualIntervalMs) return;
    this.#usualAtMs = nowMs;
    const speeds = [...this.#suspicions.values()]
      .filter(({ sampledAtMs }) => nowMs - sampledAtMs <= speedAgeMs)
      .map(({ speed }) => speed)
      .sort((a, b) => a - b);
    // Few workers do not tell the usual speed from that of a slow one.
    const isKnown = speeds.length >= 3;
    const median = speeds[Math.floor(speeds.length / 2)] ?? 1;
    this.#usualSpeed = isKnown ? Math.min(1.5, Math.max(0.3, median)) : 1;
  }

  #suspicionOf(worker: Worker): Suspicion {
    const known = this.#suspicions.get(worker);
    if (known !== undefined) return known;
    const suspicion = {
      ratio: 1,
      contraryReports: 0,
      evidenceAtMs: -Infinity,
      isSuspect: false,
      speed: 1,
      sampledAtMs: -Infinity,
    };
    this.#suspicions.set(worker, suspicion);
    return suspicion;
  }
}
