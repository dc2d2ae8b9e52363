import type { Cell } from "../cell/cell.ts";
import type { GroupOrder } from "../cell/group_order.ts";
import type { TaskGroup } from "../cell/task_group.ts";
import type { Urgency } from "../cell/urgency.ts";
import { usefulFactor } from "../cell/useful_factor.ts";
import type { Queue } from "../jobs/queue.ts";
import { CallerWorth } from "./caller_worth.ts";
import { PartyShares } from "./party_shares.ts";

/** A job that waited this many times the mean of its queue is not held back. */
const maxWaitFactor = 2;

interface Turn {
  readonly urgency: Urgency;
  /** 1 for a new job of a party that is over its share. */
  readonly turn: 0 | 1;
}

/**
 * Orders waiting groups when demand exceeds capacity: of equal band and
 * priority, new jobs of parties over their share go last. Started jobs are not
 * held back, since what they hold and have done would earn nothing meanwhile.
 * Late work that can still end in use goes by what it earns per core-second,
 * so that started and small jobs end first, and other late work goes last.
 */
export class ContentionOrder implements GroupOrder {
  readonly comparesAll = true;
  readonly #shares = new PartyShares();
  readonly #worth = new CallerWorth();

  sort(
    waiting: Urgency[],
    cell: Cell,
    nowMs: number,
    wallMs: number,
  ): readonly Urgency[] {
    this.#shares.update(cell, nowMs);
    const meanWaitsMs = meanWaits(waiting, wallMs);
    const isHeldBack = ({ band, group: { job } }: Urgency) => {
      if (band === 0 || job.hasStarted) return false;
      const { queue, origin } = job.definition;
      const pool = cell.queues.get(queue)?.pool ?? "";
      if (!this.#shares.isOver(pool, origin)) return false;
      const waitMs = wallMs - job.definition.receivedMs;
      return waitMs <= maxWaitFactor * (meanWaitsMs.get(queue) ?? 0);
    };
    for (const { group } of waiting) this.#worth.note(group.job);
    const turns = waiting.map((urgency): Turn => {
      const { definition } = urgency.group.job;
      const queue = cell.queues.get(definition.queue);
      return {
        urgency: this.#rankLate(urgency, queue, wallMs),
        turn: isHeldBack(urgency) ? 1 : 0,
      };
    });
    return turns.sort(compareTurns).map(({ urgency }) => urgency);
  }

  #rankLate(
    urgency: Urgency,
    queue: Queue | undefined,
    wallMs: number,
  ): Urgency {
    const { group, band } = urgency;
    if (band !== 2 || queue === undefined) return urgency;
    if (!canEndInUse(group, queue, wallMs)) return { ...urgency, band: 3 };
    return { ...urgency, rankMs: this.#worth.workPerWorth(group) };
  }
}

function canEndInUse(
  { job, occurrence, step }: TaskGroup,
  queue: Queue,
  wallMs: number,
): boolean {
  const chainMs = Math.max(...job.criticalPathsMs);
  const objectiveMs = queue.stretch * chainMs + queue.targetMs;
  const usefulUntilMs = job.dueAtMs(occurrence) + usefulFactor * objectiveMs;
  return wallMs + (job.criticalPathsMs[step] ?? 0) <= usefulUntilMs;
}

function compareTurns(a: Turn, b: Turn): number {
  return a.urgency.band - b.urgency.band ||
    a.urgency.priority - b.urgency.priority || a.turn - b.turn ||
    a.urgency.rankMs - b.urgency.rankMs;
}

/** How long the new jobs of each queue have waited, as means. */
function meanWaits(
  waiting: readonly Urgency[],
  wallMs: number,
): ReadonlyMap<string, number> {
  const sums = new Map<string, { waitMs: number; count: number }>();
  for (const { group: { job } } of waiting) {
    if (job.hasStarted) continue;
    const { queue, receivedMs } = job.definition;
    const sum = sums.get(queue) ?? { waitMs: 0, count: 0 };
    sum.waitMs += wallMs - receivedMs;
    sum.count += 1;
    sums.set(queue, sum);
  }
  return new Map(
    [...sums].map(([queue, { waitMs, count }]) => [queue, waitMs / count]),
  );
}
