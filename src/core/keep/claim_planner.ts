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
import type { WaitingTask } from "../place/waiting_task.ts";
import { orderWaitingTasks } from "../place/order_waiting_tasks.ts";
import { Quarantine } from "../repair/quarantine.ts";
import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { matchesSelector } from "../select/matches_selector.ts";
import { preemptedRoomOn } from "./preempted_room_on.ts";
import type { RecordHead } from "./record_head.ts";
import { RoundUsage } from "./round_usage.ts";
import type { PreemptedRoom } from "./preempted_room.ts";

/** How many claims may be made in one burst. */
const claimBurst = 40;

/** Plans claims for waiting tasks, and evictions that make room for them. */
export class ClaimPlanner {
  /** Tasks that were asked to stop, with the reason. */
  readonly evictions = new Map<string, ReleaseReason>();
  readonly learnedSizes = new LearnedSizes();
  readonly #quarantine = new Quarantine();
  /** Room that evictions are freeing, by the urgent task that it is for. */
  readonly #preemptedRoom = new Map<string, PreemptedRoom>();
  readonly #claimBudget: TokenBucket;
  readonly #evictionBudget: TokenBucket;

  constructor(
    readonly placer: Placer,
    readonly interference: InterferenceController,
    claimsPerSecond: number,
    evictionsPerSecond: number,
  ) {
    this.#claimBudget = new TokenBucket(claimsPerSecond, claimBurst);
    this.#evictionBudget = new TokenBucket(
      evictionsPerSecond,
      Math.max(1, evictionsPerSecond * 2),
    );
  }

  /** Yields claim records for as many waiting tasks as fit. */
  *propose(
    ledger: CellLedger,
    isReachable: (worker: WorkerId) => boolean,
    quotaOf: (member: MemberId) => number,
    head: RecordHead,
    nowMs: number,
  ): Generator<CellRecord> {
    const quarantined = this.#quarantine.quarantined(ledger, head.atMs);
    const available = [...ledger.workers.values()]
      .filter((worker) => !quarantined.has(worker) && isReachable(worker.id));
    const usage = new RoundUsage(this.#preemptedRoom);
    const unplaceable = new Set<string>();
    this.#releasePreemptedRoom(ledger, available);
    const queue = orderWaitingTasks(ledger, quotaOf);
    let step = queue.next();
    while (!step.done) {
      const waiting: WaitingTask = step.value;
      const key = placementKey(waiting);
      const claim = unplaceable.has(key)
        ? undefined
        : this.#claim(waiting, available, usage, head, nowMs);
      if (claim === "limited") break;
      if (claim === undefined) {
        unplaceable.add(key);
        this.#preempt(ledger, waiting, available, nowMs);
      } else {
        this.#preemptedRoom.delete(claim.task);
        usage.addClaim(claim.worker, claim.reserved);
        if (this.#isOnTrial(ledger, claim.worker)) usage.close(claim.worker);
        yield claim;
      }
      step = queue.next(claim?.reserved);
    }
  }

  #isOnTrial(ledger: CellLedger, id: WorkerId): boolean {
    const worker = ledger.workers.get(id);
    return worker !== undefined && this.#quarantine.isOnTrial(worker);
  }

  #claim(
    waiting: WaitingTask,
    available: readonly WorkerRow[],
    usage: RoundUsage,
    head: RecordHead,
    nowMs: number,
  ): Extract<CellRecord, { kind: "claimed" }> | "limited" | undefined {
    const { task, job } = waiting;
    if (head.atMs >= job.job.endsAtMs) return undefined;
    const reserved = this.#reserve(job.job.template, job.job.needs, available);
    const used = (worker: WorkerRow): Resources => usage.used(worker, waiting);
    const fittingWorkers = available.filter((worker) =>
      matchesSelector(job.job.workers, worker.labels) &&
      fits(addResources(used(worker), reserved), worker.capacity)
    );
    if (fittingWorkers.length === 0) return undefined;
    const undisturbed = fittingWorkers.filter((worker) =>
      !this.interference.mustSeparate(worker.id, job.job.template, nowMs)
    );
    const candidates = undisturbed.length > 0 ? undisturbed : fittingWorkers;
    if (!job.job.urgent && !this.#claimBudget.consume(nowMs)) return "limited";
    const penalty = (worker: WorkerRow): number =>
      this.interference.penalty(worker.id, job.job.template, nowMs);
    const request = { task, job, reserved, room: candidates, used, penalty };
    const worker = this.placer.choose(request);
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

  /**
   * Marks a batch task for eviction, within the eviction budget and the job's
   * cap. Returns whether it was marked.
   */
  requestEviction(
    ledger: CellLedger,
    id: TaskId,
    reason: ReleaseReason,
    nowMs: number,
  ): boolean {
    const task = ledger.tasks.get(id);
    if (task === undefined || this.evictions.has(id)) return false;
    if (!isEvictable(ledger, task)) return false;
    if (!this.#evictionBudget.consume(nowMs)) return false;
    this.evictions.set(id, reason);
    return true;
  }

  /** Falls back to the declared size if the learned one fits no worker. */
  #reserve(
    template: string,
    needs: Resources,
    available: readonly WorkerRow[],
  ): Resources {
    const learned = this.learnedSizes.reservationFor(template, needs);
    const fitsSomewhere = available.some((worker) =>
      fits(learned, worker.capacity)
    );
    return fitsSomewhere ? learned : needs;
  }

  /** Releases room if its task no longer waits or its worker is unavailable. */
  #releasePreemptedRoom(
    ledger: CellLedger,
    available: readonly WorkerRow[],
  ): void {
    const ids = new Set(available.map(({ id }) => id));
    for (const [task, { worker }] of this.#preemptedRoom) {
      const isWaiting = ledger.waiting.has(task as TaskId);
      if (!isWaiting || !ids.has(worker)) this.#preemptedRoom.delete(task);
    }
  }

  #preempt(
    ledger: CellLedger,
    { task, job }: WaitingTask,
    available: readonly WorkerRow[],
    nowMs: number,
  ): void {
    if (!job.job.urgent || this.#preemptedRoom.has(task.id)) return;
    const needs = this.#reserve(job.job.template, job.job.needs, available);
    const selected = available.filter((worker) =>
      matchesSelector(job.job.workers, worker.labels)
    );
    const victims = findVictims(ledger, selected, needs, {
      isLeaving: (victim) => this.evictions.has(victim.id),
      preemptedRoom: (worker) =>
        preemptedRoomOn(this.#preemptedRoom, worker.id),
    }, nowMs);
    if (victims === undefined) return;
    if (!this.#evictionBudget.consume(nowMs, victims.tasks.length)) return;
    this.#preemptedRoom.set(task.id, { worker: victims.worker.id, needs });
    for (const victim of victims.tasks) {
      this.evictions.set(victim.id, "urgent_work");
    }
  }
}

/** Tasks with one key are placed alike: if one does not fit, none does. */
function placementKey({ task, job }: WaitingTask): string {
  return job.job.urgent ? task.id : `${job.job.template} ${job.job.pool}`;
}
