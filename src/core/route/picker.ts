import type { RunnerChoice } from "./runner_choice.ts";

/** A load-balancing policy: picks one of the eligible runners. */
export interface Picker {
  readonly name: string;
  pick(
    runners: readonly RunnerChoice[],
    nowMs: number,
  ): RunnerChoice | undefined;
}
