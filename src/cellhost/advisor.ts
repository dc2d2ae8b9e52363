import type { RunnerLife } from "../core/jobs/runner_life.ts";

/** Knows which runners may run a step, and gives a ticket for each. */
export interface Advisor {
  /** The lives among those named that may run it; fails where it cannot tell. */
  ask(
    step: string,
    lives: readonly RunnerLife[],
  ): Promise<ReadonlyMap<RunnerLife, string>>;
}
