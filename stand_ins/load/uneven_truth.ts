import { hashText } from "../../src/core/hash/hash_text.ts";
import type { TaskTruth } from "./task_truth.ts";
import type { UnevenLoad } from "./uneven_load.ts";

const hashCount = 2 ** 32;
/** A run of a job that cannot succeed fails after this share of its work. */
const failureShare = 0.3;

/** Draws what is uneven from hashes, so that paired plays see the same. */
export class UnevenTruth {
  constructor(
    readonly seed: number,
    readonly load: Partial<UnevenLoad> = {},
  ) {}

  isDoomed(job: string): boolean {
    return this.#draw(`doomed ${job}`) < (this.load.doomedShare ?? 0);
  }

  /** The factor by which a step's declared time is off. */
  declaredFactor(program: string, job: string, step: number): number {
    const { declaredSpread = 1, declaredBias = 1 } = this.load;
    const spread = 2 * this.#draw(`declared ${job} ${step}`) - 1;
    const bias = 2 * this.#draw(`bias ${program}`) - 1;
    return declaredSpread ** spread * declaredBias ** bias;
  }

  /** A run's truth, from what its step's tasks normally take. */
  runTruth(step: TaskTruth, job: string, task: string, run: number): TaskTruth {
    if (step.workMs === Infinity) return step;
    const { tailShare = 0, tailFactor = 1, isTailOfRun } = this.load;
    const drawn = this.#draw(`tail ${task} ${isTailOfRun ? run : ""}`);
    const timeFactor = drawn < tailShare ? tailFactor : 1;
    if (!this.isDoomed(job)) return { ...step, timeFactor };
    return { ...step, timeFactor, failsAfterMs: step.workMs * failureShare };
  }

  /** How many times slower a worker is at a time. */
  slowdownAt(node: string, nowMs: number): number {
    const { slowShare = 0, slowFactor = 1 } = this.load;
    const { slowForMs = 0, slowPeriodMs = 1 } = this.load;
    const period = Math.floor(nowMs / slowPeriodMs);
    const isSlow = nowMs - period * slowPeriodMs < slowForMs &&
      this.#draw(`slow ${node} ${period}`) < slowShare;
    return isSlow ? slowFactor : 1;
  }

  /** Whether a worker fails all that it starts at a time. */
  isFailing(node: string, nowMs: number): boolean {
    const { failingShare = 0, slowForMs = 0, slowPeriodMs = 1 } = this.load;
    const period = Math.floor(nowMs / slowPeriodMs);
    return nowMs - period * slowPeriodMs < slowForMs &&
      this.#draw(`failing ${node} ${period}`) < failingShare;
  }

  #draw(text: string): number {
    return hashText(`${this.seed} ${text}`) / hashCount;
  }
}
