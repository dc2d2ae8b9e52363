import { DeclaredRunTimes } from "../estimate/declared_run_times.ts";
import type { RunTimes } from "../estimate/run_times.ts";
import type { Queue } from "../jobs/queue.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Urgency } from "./urgency.ts";

/**
 * How much a job's rank rises for each core-second that it still needs: under
 * overload, many small jobs in time are worth more than one large one.
 */
const rankPerCoreSecondMs = 40;
/** Subtracted from the rank of a started job, so that it ends in time. */
const startedBonusMs = 6_000;
const milliPerCore = 1_000;
const msPerSecond = 1_000;

/** After this many times its objective a job is of no use to its caller. */
const usefulFactor = 3;

const declaredRunTimes = new DeclaredRunTimes();

/** Computes a group's urgency at a moment of the wall clock. */
export function urgencyOf(
  group: TaskGroup,
  queue: Queue,
  wallMs: number,
  runTimes: RunTimes = declaredRunTimes,
): Urgency {
  const { job, occurrence, step, definition } = group;
  const dueAtMs = job.dueAtMs(occurrence);
  const pathsMs = runTimes.criticalPathsMs(job);
  const pathMs = pathsMs[step] ?? 0;
  const objectiveMs = queue.stretch * Math.max(...pathsMs) +
    queue.targetMs;
  const latestStartMs = dueAtMs + objectiveMs - pathMs;
  const { priority } = queue;
  if (definition.isService) {
    return { group, band: 0, priority, rankMs: latestStartMs };
  }
  const rankMs = latestStartMs +
    remainingCoreSeconds(group, runTimes) * rankPerCoreSecondMs -
    (job.hasStarted ? startedBonusMs : 0);
  const uselessAtMs = dueAtMs + usefulFactor * objectiveMs;
  const band = wallMs <= latestStartMs ? 1 : wallMs <= uselessAtMs ? 2 : 3;
  return { group, band, priority, rankMs };
}

/** The core-seconds that a group's occurrence still needs. */
function remainingCoreSeconds(
  { job, occurrence }: TaskGroup,
  runTimes: RunTimes,
): number {
  let milliMs = 0;
  for (const group of job.openOccurrences.get(occurrence)?.groups ?? []) {
    const { cpuMilli } = group.definition.resources;
    milliMs += group.unfinishedCount * cpuMilli * runTimes.expectedMs(group);
  }
  return milliMs / milliPerCore / msPerSecond;
}
