import type { RunnerLife } from "../core/jobs/runner_life.ts";

/** The life of a runner: it may start again under the id that it had. */
export function lifeOf(
  info: { readonly instance: string; readonly bornMs: number },
): RunnerLife {
  return `${info.instance}@${info.bornMs}` as RunnerLife;
}
