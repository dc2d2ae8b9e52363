import type { Queue } from "../jobs/queue.ts";
import type { Group } from "./group.ts";
import type { Urgency } from "./urgency.ts";

/**
 * How much later a job counts for each core-second that it still needs: under
 * overload many small jobs in time are worth more than one large one.
 */
const rankPerCoreSecondMs = 40;
/** A job that has begun counts as so much earlier, so that it ends in time. */
const begunBonusMs = 6_000;
const milliPerCore = 1_000;
const msPerSecond = 1_000;

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
  if (definition.isService) {
    return { group, band: 0, priority, rankMs: startByMs };
  }
  const rankMs = startByMs + workLeft(group) * rankPerCoreSecondMs -
    (job.hasBegun ? begunBonusMs : 0);
  const uselessMs = dueMs + usefulFactor * objectiveMs;
  const band = wallMs <= startByMs ? 1 : wallMs <= uselessMs ? 2 : 3;
  return { group, band, priority, rankMs };
}

/** The core-seconds that a group's occurrence still needs. */
function workLeft({ job, occurrence }: Group): number {
  let left = 0;
  for (const group of job.open.get(occurrence)?.groups ?? []) {
    const { resources, expectedMs } = group.definition;
    left += group.open * resources.cpuMilli * expectedMs;
  }
  return left / milliPerCore / msPerSecond;
}
