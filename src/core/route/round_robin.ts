import type { Picker } from "./picker.ts";
import type { RunnerChoice } from "./runner_choice.ts";

/** Takes one runner after the other: a baseline. */
export class RoundRobin implements Picker {
  readonly name = "round-robin";
  #next = 0;

  pick(choices: readonly RunnerChoice[]): RunnerChoice | undefined {
    if (choices.length === 0) return undefined;
    return choices[this.#next++ % choices.length];
  }
}
