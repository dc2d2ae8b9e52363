import type { MemberId } from "../../schema/member_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import { TokenBucket } from "../budget/token_bucket.ts";
import { isEvictable } from "../evict/is_evictable.ts";
import { findVictims } from "../evict/find_victims.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { ReleaseReason } from "../fold/release_reason.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import type { InterferenceController } from "../interfere/interference_controller.ts";
import { LearnedSizes } from "../place/learned_sizes.ts";
import type { Placer } from "../place/placer.ts";
import type { Waiting } from "../place/waiting.ts";
import { waitingOrder } from "../place/waiting_order.ts";
import { Quarantine } from "../repair/quarantine.ts";
import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { selects } from "../select/selects.ts";
import { promisedOn } from "./promised_on.ts";
import type { RecordHead } from "./record_head.ts";
import { RoomBook } from "./room_book.ts";
import type { RoomPromise } from "./room_promise.ts";

/** How many claims may come at once. */
const burst = 40;

/** Proposes claims for waiting tasks, and evictions for urgent ones. */
export class ClaimRound {
  /** Tasks asked to stop, with the reason. */
  readonly evicting = new Map<string, ReleaseReason>();
  readonly sizes = new LearnedSizes();
  readonly #quarantine = new Quarantine();
  /** Room that is being made for urgent tasks. */
  readonly #promises = new Map<string, RoomPromise>();
  readonly #claims: TokenBucket;
  readonly #evictions: TokenBucket;

  constructor(
    readonly placer: Placer,
    readonly interference: InterferenceController,
    claimsPerSecond: number,
    evictionsPerSecond: number,
  ) {
    this.#claims = new TokenBucket(claimsPerSecond, burst);
    this.#evictions = new TokenBucket(
      evictionsPerSecond,
      Math.max(1, evictionsPerSecond * 2),
    );
  }

  /** Yields claim records for as many waiting tasks as there is room for. */
  *propose(
    ledger: CellLedger,
    isReachable: (worker: WorkerId) => boolean,
    quotaOf: (member: MemberId) => number,
    head: RecordHead,
    nowMs: number,
  ): Generator<CellRecord> {
    const closed = this.#quarantine.closed(ledger, head.atMs);
    const open = [...ledger.workers.values()]
      .filter((worker) => !closed.has(worker) && isReachable(worker.id));
    const room = new RoomBook(this.#promises);
    const stuck = new Set<string>();
    this.#dropPromises(ledger, open);
    const order = waitingOrder(ledger, quotaOf);
    let step = order.next();
    while (!step.done) {
      const waiting: Waiting = step.value;
      const shape = shapeOf(waiting);
      const claim = stuck.has(shape)
        ? undefined
        : this.#claim(waiting, open, room, head, nowMs);
      if (claim === "paced") break;
      if (claim === undefined) {
        stuck.add(shape);
        this.#preempt(ledger, waiting, open, nowMs);
      } else {
        this.#promises.delete(claim.task);
        room.take(claim.worker, claim.reserved);
        if (this.#isOnTrial(ledger, claim.worker)) room.close(claim.worker);
        yield claim;
      }
      step = order.next(claim?.reserved);
    }
  }

  #isOnTrial(ledger: CellLedger, id: WorkerId): boolean {
    const worker = ledger.workers.get(id);
    return worker !== undefined && this.#quarantine.isSuspect(worker);
  }

  #claim(
    waiting: Waiting,
    open: readonly WorkerRow[],
    room: RoomBook,
    head: RecordHead,
    nowMs: number,
  ): Extract<CellRecord, { kind: "claimed" }> | "paced" | undefined {
    const { task, job } = waiting;
    if (head.atMs >= job.job.endsAtMs) return undefined;
    const reserved = this.#reserve(job.job.template, job.job.needs, open);
    const used = (worker: WorkerRow): Resources => room.used(worker, waiting);
    const fitting = open.filter((worker) =>
      selects(job.job.workers, worker.labels) &&
      fits(addResources(used(worker), reserved), worker.capacity)
    );
    if (fitting.length === 0) return undefined;
    const apart = fitting.filter((worker) =>
      !this.interference.mustSeparate(worker.id, job.job.template, nowMs)
    );
    const best = apart.length > 0 ? apart : fitting;
    if (!job.job.urgent && !this.#claims.take(nowMs)) return "paced";
    const penalty = (worker: WorkerRow): number =>
      this.interference.penalty(worker.id, job.job.template, nowMs);
    const placement = { task, job, reserved, room: best, used, penalty };
    const worker = this.placer.choose(placement);
    if (worker === undefined) return undefined;
    const attempt = task.attempt + 1;
    return {
      ...head,
      kind: "claimed",
      task: task.id,
      attempt,
      worker: worker.id,
      reserved,
    };
  }

  /** Asks a batch task to leave its worker, within the budget and its cap. */
  evict(
    ledger: CellLedger,
    id: TaskId,
    reason: ReleaseReason,
    nowMs: number,
  ): boolean {
    const task = ledger.tasks.get(id);
    if (task === undefined || this.evicting.has(id)) return false;
    if (!isEvictable(ledger, task)) return false;
    if (!this.#evictions.take(nowMs)) return false;
    this.evicting.set(id, reason);
    return true;
  }

  /** A learned size above every worker falls back to the declared one. */
  #reserve(
    template: string,
    needs: Resources,
    open: readonly WorkerRow[],
  ): Resources {
    const learned = this.sizes.reserve(template, needs);
    const possible = open.some((worker) => fits(learned, worker.capacity));
    return possible ? learned : needs;
  }

  /** Room is promised for as long as its task waits and its worker is open. */
  #dropPromises(ledger: CellLedger, open: readonly WorkerRow[]): void {
    const ids = new Set(open.map(({ id }) => id));
    for (const [task, { worker }] of this.#promises) {
      const waits = ledger.waiting.has(task as TaskId);
      if (!waits || !ids.has(worker)) this.#promises.delete(task);
    }
  }

  #preempt(
    ledger: CellLedger,
    { task, job }: Waiting,
    open: readonly WorkerRow[],
    nowMs: number,
  ): void {
    if (!job.job.urgent || this.#promises.has(task.id)) return;
    const needs = this.#reserve(job.job.template, job.job.needs, open);
    const matching = open.filter((worker) =>
      selects(job.job.workers, worker.labels)
    );
    const victims = findVictims(ledger, matching, needs, {
      isLeaving: (victim) => this.evicting.has(victim.id),
      promised: (worker) => promisedOn(this.#promises, worker.id),
    }, nowMs);
    if (victims === undefined) return;
    if (!this.#evictions.take(nowMs, victims.tasks.length)) return;
    this.#promises.set(task.id, { worker: victims.worker.id, needs });
    for (const victim of victims.tasks) {
      this.evicting.set(victim.id, "urgent_work");
    }
  }
}

function shapeOf({ task, job }: Waiting): string {
  return job.job.urgent ? task.id : `${job.job.template} ${job.job.pool}`;
}
