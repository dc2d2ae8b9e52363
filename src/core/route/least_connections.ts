import type { Picker } from "./picker.ts";
import type { RunnerChoice } from "./runner_choice.ts";

/** Takes the runner with the fewest own requests in flight: a baseline. */
export class LeastConnections implements Picker {
  readonly name = "least-connections";

  pick(choices: readonly RunnerChoice[]): RunnerChoice | undefined {
    let best = choices[0];
    for (const choice of choices) {
      if (best && choice.stats.inFlight < best.stats.inFlight) best = choice;
    }
    return best;
  }
}
