import type { RunnerLife } from "../jobs/runner_life.ts";

/** What the keeper has and does about the tickets of a step. */
export interface AdviceState {
  /**
   * Why it has no more tickets: they are being queried, no query is sent since
   * one has failed, there was no worker to ask about, or other steps come first.
   */
  readonly reason:
    | "advice_queried"
    | "advice_paused"
    | "advice_rests"
    | "advice_waits";
  readonly tickets: ReadonlyMap<RunnerLife, string>;
  readonly pauseLeftMs: number;
  /** Queries under way, of all steps. */
  readonly queryCount: number;
}
