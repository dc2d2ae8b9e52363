import type { RunnerLife } from "../core/jobs/runner_life.ts";

/**
 * Receives a life of a runner that has ended, those before it, and whether no
 * start can be under way that its sidecar does not know of.
 */
export type EndListener = (
  life: RunnerLife,
  before: readonly RunnerLife[],
  isSettled: boolean,
) => void;
