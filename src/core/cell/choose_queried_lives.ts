import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import { hasCapacityFor } from "./has_capacity_for.ts";
import { mayStartBeside } from "./may_start_beside.ts";
import type { StepAdvice } from "./step_advice.ts";
import type { Task } from "./task.ts";
import type { Worker } from "./worker.ts";

/** Most workers in one query. */
const maxWorkersPerQuery = 30;
/** The advisor's time for one query is kept below this by naming fewer. */
const maxQueryMs = 1_000;

/** The runner lives that a query for a waiting task would name. */
interface QueriedLives {
  /** Whether the workers have room for the task at present. */
  readonly haveRoom: boolean;
  readonly lives: readonly RunnerLife[];
}

interface Candidate {
  readonly life: RunnerLife;
  readonly hasRoom: boolean;
  readonly isAllowed: boolean;
  readonly freeMilli: number;
}

/**
 * Chooses which runner lives to name in the next query: those that the advisor
 * may allow and that have no ticket. Workers with room for the task come first,
 * and among them those known to be allowed, which are then named alone.
 */
export function chooseQueriedLives(
  task: Task,
  queue: Queue,
  advice: StepAdvice,
  workers: Iterable<Worker>,
  nowMs: number,
): QueriedLives {
  const candidates: Candidate[] = [];
  for (const worker of workers) {
    const { report } = worker;
    if (report === undefined || !mayEverTake(task, queue, worker)) continue;
    if (!advice.needsQuery(report.life, nowMs)) continue;
    candidates.push({
      life: report.life,
      hasRoom: mayStartBeside(task, worker, nowMs) &&
        hasCapacityFor(task, queue, worker, nowMs, "relaxed"),
      isAllowed: advice.isAllowed(report.life),
      freeMilli: worker.free.cpuMilli,
    });
  }
  const withRoom = candidates.filter(({ hasRoom }) => hasRoom);
  const haveRoom = withRoom.length > 0;
  const preferred = haveRoom ? withRoom : candidates;
  const allowed = preferred.filter(({ isAllowed }) => isAllowed);
  const lives = (haveRoom && allowed.length > 0 ? allowed : candidates)
    .sort(compareCandidates)
    .slice(0, mostPerQuery(queue))
    .map(({ life }) => life);
  return { haveRoom, lives };
}

/** Whether the worker could take the task if it were empty. */
function mayEverTake(task: Task, queue: Queue, worker: Worker): boolean {
  const { report, isReconciled, isEvacuated } = worker;
  const { label } = task.group.definition;
  return isReconciled && !isEvacuated && report?.pool === queue.pool &&
    report.isUp && !report.isDraining &&
    (label === undefined || report.labels.includes(label));
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return Number(b.hasRoom) - Number(a.hasRoom) ||
    Number(b.isAllowed) - Number(a.isAllowed) || b.freeMilli - a.freeMilli;
}

function mostPerQuery({ advice }: Queue): number {
  if (advice === undefined || advice.perWorkerMs <= 0) {
    return maxWorkersPerQuery;
  }
  const count = Math.floor((maxQueryMs - advice.decideMs) / advice.perWorkerMs);
  return Math.max(1, Math.min(maxWorkersPerQuery, count));
}
