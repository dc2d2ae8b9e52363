import type { RunnerLife } from "../jobs/runner_life.ts";

/** The advisor's answer about one step of an occurrence. */
export interface Advice {
  /** When the query was sent, by the keeper's monotonic clock. */
  queriedAtMs: number;
  /** Whether the answer has arrived; until then there are no tickets. */
  isAnswered: boolean;
  /** The runner lives that may run the step, each with its ticket. */
  readonly tickets: Map<RunnerLife, string>;
}
