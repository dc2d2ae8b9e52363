import type { Cell } from "../cell/cell.ts";
import type { GroupOrder } from "../cell/group_order.ts";
import type { Job } from "../cell/job.ts";
import type { Urgency } from "../cell/urgency.ts";
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
 */
export class ContentionOrder implements GroupOrder {
  readonly #shares = new PartyShares();

  sort(
    waiting: Urgency[],
    cell: Cell,
    nowMs: number,
    wallMs: number,
  ): readonly Urgency[] {
    this.#shares.update(cell, nowMs);
    const meanWaitsMs = meanWaits(waiting, wallMs);
    const isHeldBack = (job: Job) => {
      if (job.hasStarted) return false;
      const { queue, origin } = job.definition;
      const pool = cell.queues.get(queue)?.pool ?? "";
      if (!this.#shares.isOver(pool, origin)) return false;
      const waitMs = wallMs - job.definition.receivedMs;
      return waitMs <= maxWaitFactor * (meanWaitsMs.get(queue) ?? 0);
    };
    const turns = waiting.map((urgency): Turn => ({
      urgency,
      turn: isHeldBack(urgency.group.job) ? 1 : 0,
    }));
    return turns.sort(compareTurns).map(({ urgency }) => urgency);
  }
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
