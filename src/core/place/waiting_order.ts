import type { MemberId } from "../../schema/member_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import { addResources } from "../resources/add_resources.ts";
import { dominantShare } from "../resources/dominant_share.ts";
import { noResources } from "../resources/no_resources.ts";
import type { Waiting } from "./waiting.ts";

/**
 * Yields waiting tasks: urgent ones first, then always the oldest of the
 * member whose dominant share is the least of its quota. The caller answers
 * each with what it reserved for the task, if anything.
 */
export function* waitingOrder(
  ledger: CellLedger,
  quotaOf: (member: MemberId) => number,
): Generator<Waiting, void, Resources | undefined> {
  const queues = new Map<MemberId, Waiting[]>();
  const urgent: Waiting[] = [];
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
  const used = new Map(ledger.memberUse);
  const heads = [...queues].map(([member, queue]) => ({
    member,
    queue: queue.sort(byAge).values(),
    quota: quotaOf(member),
  }));
  const shareOf = (head: { member: MemberId; quota: number }): number =>
    dominantShare(used.get(head.member) ?? noResources, total) / head.quota;
  while (heads.length > 0) {
    const head = heads.reduce((a, b) => shareOf(b) < shareOf(a) ? b : a);
    const next = head.queue.next();
    if (next.done) {
      heads.splice(heads.indexOf(head), 1);
      continue;
    }
    const reserved = yield next.value;
    if (reserved === undefined) continue;
    const before = used.get(head.member) ?? noResources;
    used.set(head.member, addResources(before, reserved));
  }
}

function byAge(a: Waiting, b: Waiting): number {
  return a.job.offset - b.job.offset;
}

function totalCapacity(ledger: CellLedger): Resources {
  let total = noResources;
  for (const worker of ledger.workers.values()) {
    total = addResources(total, worker.capacity);
  }
  return total;
}
