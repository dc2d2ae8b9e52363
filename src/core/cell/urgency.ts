import type { Queue } from "../jobs/queue.ts";
import type { Group } from "./group.ts";

/** Past this many times its objective a job is of no use to its caller. */
const usefulFactor = 3;

/** Where a group stands in line; lower goes first, field by field. */
export interface Urgency {
  readonly group: Group;
  /** 0 services, 1 what can be in time, 2 what is late, 3 what is of no use. */
  readonly band: 0 | 1 | 2 | 3;
  readonly priority: number;
  /** By when its tasks must start for its job to be in time, wall clock. */
  readonly startByMs: number;
}

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
