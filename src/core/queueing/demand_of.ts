import { criticalPaths } from "../cell/critical_paths.ts";
import { rankOfWork } from "../cell/rank_of_work.ts";
import type { JobDefinition } from "../jobs/job_definition.ts";
import type { Queue } from "../jobs/queue.ts";
import type { JobDemand } from "./job_demand.ts";

/**
 * What a job submitted now needs; undefined for services and repeated jobs,
 * which have no end to predict. Its rank is the one that `urgencyOf` gives to a
 * job that has not started.
 */
export function demandOf(
  { steps, schedule, receivedMs, queue: queueName, origin }: JobDefinition,
  queue: Queue,
): JobDemand | undefined {
  const [first] = steps;
  if (schedule !== undefined || first === undefined) return undefined;
  if (steps.some(({ isService }) => isService)) return undefined;
  const chainMs = Math.max(...criticalPaths(steps));
  const objectiveMs = queue.stretch * chainMs + queue.targetMs;
  let milliMs = 0;
  for (const { count, resources, expectedMs } of steps) {
    milliMs += count * resources.cpuMilli * expectedMs;
  }
  return {
    queue: queueName,
    party: origin ?? "",
    cpuClass: first.isFiller ? "filler" : "reserved",
    band: 1,
    priority: queue.priority,
    rankMs: receivedMs + objectiveMs - chainMs + rankOfWork(milliMs),
    milliMs,
    taskCpuMilli: first.resources.cpuMilli,
    chainMs,
    objectiveMs,
  };
}
