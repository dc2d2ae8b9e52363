import type { Clock } from "../../src/core/clock/clock.ts";
import { RunnerModel } from "../../stand_ins/runner/runner_model.ts";

interface RunnerOptions {
  readonly clockRate: number;
  readonly isFencing: boolean;
  readonly stopMs: () => number;
  readonly endsPerAnswer?: number;
  readonly instance?: string;
}

/** Creates the runner of a worker. */
export function createRunner(
  world: Clock,
  { clockRate, instance, ...options }: RunnerOptions,
): RunnerModel {
  const runner = new RunnerModel(world, clockRate, instance);
  runner.isFencing = options.isFencing;
  runner.stopMs = options.stopMs;
  runner.endsPerAnswer = options.endsPerAnswer ?? runner.endsPerAnswer;
  return runner;
}
