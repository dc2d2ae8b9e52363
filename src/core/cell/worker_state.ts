import type { Resources } from "../../schema/resources.ts";
import type { SidecarReport } from "./sidecar_report.ts";
import type { Worker } from "./worker.ts";
import { settledAfterMs } from "./settled_after_ms.ts";

/** What a change of a worker may have given capacity to. */
type Gain = "nothing" | "fillers" | "all";

/**
 * What placement last saw of a worker. It finds changes by comparison, so that
 * code which changes a worker need not announce them.
 */
export class WorkerState {
  #report: SidecarReport | undefined;
  #isReconciled = false;
  #isSuspended = false;
  #isEvacuated = false;
  #hasIsolatedStart = false;
  #isQuiet = false;
  #startsFreedCount = 0;
  #speed: Worker["speed"] = "normal";
  #reserved: Resources | undefined;
  #removalCount = -1;
  #claimVersion = -1;
  #strayCount = 0;
  #pressureVersion = -1;
  /** When a filler's measured use next counts. */
  #settlesAtMs = Infinity;

  constructor(readonly worker: Worker) {}

  /** Compares the worker with what was last seen of it. */
  update(nowMs: number, pressureVersion: number): Gain {
    const { worker } = this;
    const { report, isReconciled, removalCount, claimVersion } = worker;
    const { isEvacuated, startsFreedCount, hasIsolatedStart } = worker;
    const { reserved, speed } = worker;
    const isSuspended = nowMs < worker.suspendedUntilMs;
    const isQuiet = worker.isQuiet(nowMs);
    const isReported = report !== this.#report;
    const hasRemovals = removalCount !== this.#removalCount;
    const isChanged = isReconciled !== this.#isReconciled ||
      isSuspended !== this.#isSuspended ||
      isEvacuated !== this.#isEvacuated ||
      hasIsolatedStart !== this.#hasIsolatedStart ||
      isQuiet !== this.#isQuiet ||
      startsFreedCount !== this.#startsFreedCount ||
      speed !== this.#speed ||
      hasRemovals ||
      (isReported && this.#isDifferent(report));
    const hasFillerChange = reserved !== this.#reserved ||
      worker.fillerCount > 0 &&
        (isReported || nowMs >= this.#settlesAtMs);
    const hasPressureChange = worker.targetCount > 0 &&
      pressureVersion !== this.#pressureVersion;
    if (
      isReported || claimVersion !== this.#claimVersion ||
      nowMs >= this.#settlesAtMs
    ) {
      this.#settlesAtMs = nextSettling(worker, nowMs);
    }
    this.#report = report;
    this.#isReconciled = isReconciled;
    this.#isSuspended = isSuspended;
    this.#isEvacuated = isEvacuated;
    this.#hasIsolatedStart = hasIsolatedStart;
    this.#isQuiet = isQuiet;
    this.#startsFreedCount = startsFreedCount;
    this.#speed = speed;
    this.#reserved = reserved;
    this.#removalCount = removalCount;
    this.#claimVersion = claimVersion;
    this.#strayCount = worker.strays.size;
    this.#pressureVersion = pressureVersion;
    if (isChanged) return "all";
    return hasFillerChange || hasPressureChange ? "fillers" : "nothing";
  }

  /** Whether a report differs in what decides about eligibility. */
  #isDifferent(next: SidecarReport | undefined): boolean {
    const known = this.#report;
    if (known === undefined || next === undefined) return true;
    // Strays differ in size, so any of them counts as a difference.
    if (this.#strayCount > 0 || this.worker.strays.size > 0) return true;
    return known.life !== next.life || known.pool !== next.pool ||
      known.isUp !== next.isUp || known.isDraining !== next.isDraining ||
      known.zone !== next.zone ||
      known.capacity.cpuMilli !== next.capacity.cpuMilli ||
      known.capacity.memoryBytes !== next.capacity.memoryBytes ||
      known.capacity.accelerators !== next.capacity.accelerators ||
      known.labels.length !== next.labels.length ||
      known.labels.some((label, index) => label !== next.labels[index]);
  }
}

/**
 * When the measured use of one of the worker's fillers next replaces its
 * request. One that starts has no measured use before the next report.
 */
function nextSettling(worker: Worker, nowMs: number): number {
  if (worker.fillerCount === 0) return Infinity;
  let nextMs = Infinity;
  for (const { claim, group } of worker.claims.values()) {
    if (!group.definition.isFiller || claim === undefined) continue;
    const settlesAtMs = claim.phaseSinceMs + settledAfterMs;
    if (claim.phase !== "running" || settlesAtMs <= nowMs) continue;
    nextMs = Math.min(nextMs, settlesAtMs);
  }
  return nextMs;
}
