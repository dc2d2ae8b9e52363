import type { RunnerLife } from "../jobs/runner_life.ts";
import type { TaskName } from "../jobs/task_name.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Worker } from "./worker.ts";

/** Returns the effect that stops a run on a worker. */
export function stopEffectFor(
  worker: Worker,
  task: TaskName,
  run: number,
  reason: string,
  life: RunnerLife | undefined = worker.report?.life,
): CellEffect {
  return {
    kind: "stop",
    node: worker.node,
    life: life ?? ("" as RunnerLife),
    task,
    run,
    reason,
  };
}
