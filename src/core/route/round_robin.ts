import type { Picker } from "./picker.ts";
import type { RoutableRunner } from "./routable_runner.ts";

/** Picks the runners in turn: a baseline. */
export class RoundRobin implements Picker {
  readonly name = "round-robin";
  #next = 0;

  pick(runners: readonly RoutableRunner[]): RoutableRunner | undefined {
    if (runners.length === 0) return undefined;
    return runners[this.#next++ % runners.length];
  }
}
