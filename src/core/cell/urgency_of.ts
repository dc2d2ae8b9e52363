import { DeclaredRunTimes } from "../estimate/declared_run_times.ts";
import type { RunTimes } from "../estimate/run_times.ts";
import type { Queue } from "../jobs/queue.ts";
import { rankOfWork } from "./rank_of_work.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Urgency } from "./urgency.ts";
import { usefulFactor } from "./useful_factor.ts";

/** Subtracted from the rank of a started job, so that it ends in time. */
const startedBonusMs = 6_000;

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
    rankOfWork(remainingMilliMs(group, runTimes)) -
    (job.hasStarted ? startedBonusMs : 0);
  const uselessAtMs = dueAtMs + usefulFactor * objectiveMs;
  const band = wallMs <= latestStartMs ? 1 : wallMs <= uselessAtMs ? 2 : 3;
  return { group, band, priority, rankMs };
}

/** The CPU time that a group's occurrence still needs. */
function remainingMilliMs(
  { job, occurrence }: TaskGroup,
  runTimes: RunTimes,
): number {
  let milliMs = 0;
  for (const group of job.openOccurrences.get(occurrence)?.groups ?? []) {
    const { cpuMilli } = group.definition.resources;
    milliMs += group.unfinishedCount * cpuMilli * runTimes.expectedMs(group);
  }
  return milliMs;
}
