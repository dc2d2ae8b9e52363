import type { RunnerLife } from "../jobs/runner_life.ts";
import type { StartCommand } from "./start_command.ts";
import type { Task } from "./task.ts";

/** Builds the command to start a task's claimed run. */
export function buildStart(task: Task): StartCommand {
  const { definition, job } = task.group;
  return {
    kind: "start",
    task: task.name,
    run: task.run,
    life: task.claim?.life ?? ("" as RunnerLife),
    payload: job.definition.payload,
    checkpoint: task.claim?.startCheckpoint ?? "",
    ticket: task.claim?.ticket,
    resources: definition.resources,
    isService: definition.isService,
    isFiller: definition.isFiller,
    image: definition.image,
    targetLatencyMs: definition.targetLatencyMs,
  };
}
