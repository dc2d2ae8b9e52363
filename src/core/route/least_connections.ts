import type { Picker } from "./picker.ts";
import type { RoutableRunner } from "./routable_runner.ts";

/** Picks the runner with the fewest requests of this entry: a baseline. */
export class LeastConnections implements Picker {
  readonly name = "least-connections";

  pick(runners: readonly RoutableRunner[]): RoutableRunner | undefined {
    let best = runners[0];
    for (const runner of runners) {
      if (best && runner.stats.inFlight < best.stats.inFlight) best = runner;
    }
    return best;
  }
}
