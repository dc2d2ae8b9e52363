import type { RunnerLife } from "../jobs/runner_life.ts";

/** The lives of a worker's runner that have ended for good. */
export interface EndedLives {
  /** As its sidecar stored them, the last one first. */
  endedLives: readonly RunnerLife[];
  /** Whether no start that its sidecar does not know of can be under way. */
  isEndSettled: boolean;
}
