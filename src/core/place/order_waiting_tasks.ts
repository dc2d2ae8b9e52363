import type { MemberId } from "../../schema/member_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import { addResources } from "../resources/add_resources.ts";
import { dominantShare } from "../resources/dominant_share.ts";
import { noResources } from "../resources/no_resources.ts";
import type { WaitingTask } from "./waiting_task.ts";

/**
 * Yields waiting tasks in scheduling order: urgent ones first, then by weighted
 * dominant-resource fairness, always the oldest task of the member whose
 * dominant share is the smallest relative to its quota. The caller passes what
 * it reserved for each task, if anything, to `next`.
 */
export function* orderWaitingTasks(
  ledger: CellLedger,
  quotaOf: (member: MemberId) => number,
): Generator<WaitingTask, void, Resources | undefined> {
  const queues = new Map<MemberId, WaitingTask[]>();
  const urgent: WaitingTask[] = [];
  for (const id of ledger.waiting) {
    const task = ledger.tasks.get(id);
    const job = task && ledger.jobs.get(task.job);
    if (task === undefined || job === undefined) continue;
    const queue = job.job.urgent ? urgent : queues.get(job.job.member) ?? [];
    queue.push({ task, job });
    if (!job.job.urgent) queues.set(job.job.member, queue);
  }
  yield* urgent.sort(byAge);
  const total = totalCapacity(ledger);
  const used = new Map(ledger.reservedByMember);
  const memberQueues = [...queues].map(([member, queue]) => ({
    member,
    queue: queue.sort(byAge).values(),
    quota: quotaOf(member),
  }));
  const shareOf = (memberQueue: { member: MemberId; quota: number }): number =>
    dominantShare(used.get(memberQueue.member) ?? noResources, total) /
    memberQueue.quota;
  while (memberQueues.length > 0) {
    const memberQueue = memberQueues.reduce((a, b) =>
      shareOf(b) < shareOf(a) ? b : a
    );
    const next = memberQueue.queue.next();
    if (next.done) {
      memberQueues.splice(memberQueues.indexOf(memberQueue), 1);
      continue;
    }
    const reserved = yield next.value;
    if (reserved === undefined) continue;
    const before = used.get(memberQueue.member) ?? noResources;
    used.set(memberQueue.member, addResources(before, reserved));
  }
}

function byAge(a: WaitingTask, b: WaitingTask): number {
  return a.job.offset - b.job.offset;
}

function totalCapacity(ledger: CellLedger): Resources {
  let total = noResources;
  for (const worker of ledger.workers.values()) {
    total = addResources(total, worker.capacity);
  }
  return total;
}
