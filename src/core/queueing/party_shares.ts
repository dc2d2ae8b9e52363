import type { Cell } from "../cell/cell.ts";
import type { Task } from "../cell/task.ts";
import type { Worker } from "../cell/worker.ts";
import { addResources } from "../resources/add_resources.ts";
import { dominantShare } from "../resources/dominant_share.ts";
import { noResources } from "../resources/no_resources.ts";
import type { Resources } from "../../schema/resources.ts";
import { fairLevels } from "./fair_levels.ts";

const updateIntervalMs = 200;
/** What a party received counts over about this time. */
const memoryMs = 10_000;
/** A party is over its share from this multiple of it on. */
const overFactor = 1.1;

interface Party {
  /** Its dominant share of the pool that its runs hold now. */
  held: number;
  /** The same of its tasks that wait. */
  waiting: number;
  /** What it held, as a decayed mean. */
  received: number;
  isOver: boolean;
}

/**
 * Which parties got more of a contended pool than their fair share: a decayed
 * mean of dominant shares, against weighted max-min fairness. Parties weigh the
 * same, since no weights are configured. A new keeper begins with what runs.
 */
export class PartyShares {
  readonly #pools = new Map<string, Map<string, Party>>();
  #updatedAtMs = -Infinity;

  /** Whether jobs of other parties should go first. */
  isOver(pool: string, origin: string | undefined): boolean {
    return this.#pools.get(pool)?.get(origin ?? "")?.isOver ?? false;
  }

  /** Takes account of what runs and waits, when that is due. */
  update(cell: Cell, nowMs: number): void {
    const sinceMs = nowMs - this.#updatedAtMs;
    if (sinceMs < updateIntervalMs) return;
    this.#updatedAtMs = nowMs;
    for (const parties of this.#pools.values()) {
      for (const party of parties.values()) party.held = party.waiting = 0;
    }
    const capacities = capacitiesOf(cell);
    for (const worker of cell.workers.values()) {
      for (const task of worker.claims.values()) {
        this.#add(cell, capacities, task, worker);
      }
    }
    for (const job of cell.liveJobs) {
      for (const group of job.readyGroups()) {
        for (const task of group.tasks) {
          if (task.isDone || task.claim !== undefined) continue;
          this.#add(cell, capacities, task, undefined);
        }
      }
    }
    const weight = 1 - Math.exp(-sinceMs / memoryMs);
    for (const parties of this.#pools.values()) judge(parties, weight);
  }

  #add(
    cell: Cell,
    capacities: ReadonlyMap<string, Resources>,
    task: Task,
    worker: Worker | undefined,
  ): void {
    const { definition, job } = task.group;
    if (definition.isService) return;
    const pool = cell.queues.get(job.definition.queue)?.pool;
    const capacity = pool === undefined ? undefined : capacities.get(pool);
    if (pool === undefined || capacity === undefined) return;
    const share = dominantShare(usedBy(task, worker), capacity);
    const party = this.#party(pool, job.definition.origin ?? "");
    if (worker === undefined) party.waiting += share;
    else party.held += share;
  }

  #party(pool: string, origin: string): Party {
    const parties = this.#pools.get(pool) ?? new Map<string, Party>();
    this.#pools.set(pool, parties);
    const known = parties.get(origin);
    if (known !== undefined) return known;
    const party = { held: 0, waiting: 0, received: 0, isOver: false };
    parties.set(origin, party);
    return party;
  }
}

/** A filler counts with the CPU that it uses. */
function usedBy(task: Task, worker: Worker | undefined): Resources {
  const { resources, isFiller } = task.group.definition;
  const figure = worker?.statuses.get(task.name)?.figure;
  if (!isFiller || figure === undefined) return resources;
  return { ...resources, cpuMilli: Math.min(resources.cpuMilli, figure) };
}

function capacitiesOf({ workers }: Cell): Map<string, Resources> {
  const capacities = new Map<string, Resources>();
  for (const { report } of workers.values()) {
    if (report === undefined) continue;
    const known = capacities.get(report.pool) ?? noResources;
    capacities.set(report.pool, addResources(known, report.capacity));
  }
  return capacities;
}

function judge(parties: Map<string, Party>, weight: number): void {
  let total = 0;
  for (const [origin, party] of parties) {
    party.received += (party.held - party.received) * weight;
    total += party.received;
    const isGone = party.held + party.waiting === 0 && party.received < 1e-6;
    if (isGone) parties.delete(origin);
  }
  const list = [...parties.values()];
  const levels = fairLevels(
    list.map(({ received, waiting }) => ({
      demand: received + waiting,
      weight: 1,
    })),
    total,
  );
  list.forEach((party, index) => {
    party.isOver = party.received >= overFactor * levels[index]!;
  });
}
