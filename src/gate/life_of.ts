import type { RunnerLife } from "../core/jobs/runner_life.ts";

/**
 * Returns the life of a runner: its instance id and start time, since a runner
 * may restart under the same id.
 */
export function lifeOf(
  heartbeat: { readonly instance: string; readonly bornMs: number },
): RunnerLife {
  return `${heartbeat.instance}@${heartbeat.bornMs}` as RunnerLife;
}
