import type { RunnerLife } from "../jobs/runner_life.ts";

/** What the advisor said of one step of an occurrence. */
export interface Advice {
  /** When it was asked, by the keeper's steady clock. */
  askedAtMs: number;
  isAnswered: boolean;
  /** The lives of runners that may run the step, each with its ticket. */
  readonly tickets: Map<RunnerLife, string>;
}
