import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { ModelRun } from "./model_run.ts";

/** Receives what a runner does, as an observer beside it would see it. */
export interface RunnerObserver {
  onStarted?(run: ModelRun, payload: string): void;
  onEnded?(end: RunEnd): void;
  /** The keeper has taken note of the end: it is no longer listed. */
  onForgotten?(end: RunEnd): void;
}
