import type { RunnerChoice } from "./runner_choice.ts";

/** Chooses one of the runners that may be sent to. */
export interface Picker {
  readonly name: string;
  pick(
    choices: readonly RunnerChoice[],
    nowMs: number,
  ): RunnerChoice | undefined;
}
