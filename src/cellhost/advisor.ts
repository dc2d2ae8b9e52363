import type { RunnerLife } from "../core/jobs/runner_life.ts";

/** An external service that decides which runners may run a step. */
export interface Advisor {
  /**
   * Returns a ticket for each of the lives whose runner may run the step.
   * Rejects if no advisor is configured, or if it does not answer in time.
   */
  requestTickets(
    step: string,
    lives: readonly RunnerLife[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<RunnerLife, string>>;
}
