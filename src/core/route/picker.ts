import type { RoutableRunner } from "./routable_runner.ts";

/** A load-balancing policy: picks one of the eligible runners. */
export interface Picker {
  readonly name: string;
  pick(
    runners: readonly RoutableRunner[],
    nowMs: number,
  ): RoutableRunner | undefined;
}
