import type { RunningWork } from "./running_work.ts";
import type { WaitingWork } from "./waiting_work.ts";

/** The load on one class of a pool's CPU. */
export interface ClassLoad {
  /** What services leave. */
  readonly capacityMilli: number;
  /** What no run holds now. */
  readonly freeMilli: number;
  readonly running: readonly RunningWork[];
  /** In any order. */
  readonly waiting: readonly WaitingWork[];
}
