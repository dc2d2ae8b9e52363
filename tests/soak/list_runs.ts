import type { RunnerPollResult } from "../../src/gate/runner_poll_result.ts";
import type { RunObserver } from "./run_observer.ts";

/** The lists of runs and ends in a runner's answer. */
export function listRuns(
  { running, ends }: RunnerPollResult,
  observer: RunObserver,
) {
  return {
    running: running.map(({ task, run }) => [
      task,
      run,
      "",
      observer.percentOf(task),
      0,
    ]),
    ended: ends.map((
      { number, task, run, outcome },
    ) => [number, task, run, outcome, ""]),
  };
}
