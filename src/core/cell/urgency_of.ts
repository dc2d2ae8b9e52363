import type { Queue } from "../jobs/queue.ts";
import type { Group } from "./group.ts";
import type { Urgency } from "./urgency.ts";

/** Past this many times its objective a job is of no use to its caller. */
const usefulFactor = 3;

/** Where the group stands in line now. */
export function urgencyOf(group: Group, queue: Queue, wallMs: number): Urgency {
  const { job, occurrence, step, definition } = group;
  const dueMs = job.dueMs(occurrence);
  const chainMs = job.chainsMs[step] ?? 0;
  const objectiveMs = queue.stretch * Math.max(...job.chainsMs) +
    queue.targetMs;
  const startByMs = dueMs + objectiveMs - chainMs;
  const { priority } = queue;
  if (definition.isService) return { group, band: 0, priority, startByMs };
  const uselessMs = dueMs + usefulFactor * objectiveMs;
  const band = wallMs <= startByMs ? 1 : wallMs <= uselessMs ? 2 : 3;
  return { group, band, priority, startByMs };
}
