import type { JobId } from "../../schema/job_id.ts";
import type { MemberId } from "../../schema/member_id.ts";
import type { Resources } from "../../schema/resources.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import { addResources } from "../resources/add_resources.ts";
import { noResources } from "../resources/no_resources.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import type { AccountRow } from "./account_row.ts";
import type { EpochRow } from "./epoch_row.ts";
import type { JobRow } from "./job_row.ts";
import { taskChart } from "./task_chart.ts";
import type { TaskEvent } from "./task_event.ts";
import type { TaskRow } from "./task_row.ts";
import type { WorkerRow } from "./worker_row.ts";

/** The state of a cell that its records add up to. */
export class CellLedger {
  /** Offset of the next record to apply. */
  next = 0;
  epoch: EpochRow | undefined;
  /** Raised whenever the set of workers changes. */
  workersVersion = 0;
  readonly workers = new Map<WorkerId, WorkerRow>();
  readonly jobs = new Map<JobId, JobRow>();
  readonly tasks = new Map<TaskId, TaskRow>();
  readonly waiting = new Set<TaskId>();
  readonly urgentWaiting = new Set<TaskId>();
  readonly accounts = new Map<string, AccountRow>();
  /** What each member's claimed tasks have reserved. */
  readonly memberUse = new Map<MemberId, Resources>();

  /** Moves a task along its chart; false where the chart forbids it. */
  step(task: TaskRow, event: TaskEvent): boolean {
    const next = taskChart.next(task.state, event);
    if (next === undefined) return false;
    task.state = next;
    if (next === "waiting") this.enqueue(task);
    else this.dequeue(task);
    return true;
  }

  /** Counts a task among those that need a worker. */
  enqueue(task: TaskRow): void {
    this.waiting.add(task.id);
    const isUrgent = this.jobs.get(task.job)?.job.urgent ?? false;
    if (isUrgent) this.urgentWaiting.add(task.id);
  }

  /** Counts a task no longer among those that need a worker. */
  dequeue(task: TaskRow): void {
    this.waiting.delete(task.id);
    this.urgentWaiting.delete(task.id);
  }

  /** Books a task's reservation onto a worker. */
  occupy(task: TaskRow, worker: WorkerRow): void {
    if (task.reserved === undefined) return;
    worker.used = addResources(worker.used, task.reserved);
    worker.tasks.add(task.id);
    this.#book(task, task.reserved, addResources);
  }

  /** Frees a task's worker and books the time it held it. */
  vacate(task: TaskRow, atMs: number): void {
    const { worker: workerId, reserved, claimedAtMs } = task;
    if (workerId === undefined || reserved === undefined) return;
    const worker = this.workers.get(workerId);
    if (worker?.tasks.delete(task.id)) {
      worker.used = subtractResources(worker.used, reserved);
      this.#book(task, reserved, subtractResources);
    }
    const heldSeconds = Math.max(0, atMs - (claimedAtMs ?? atMs)) / 1_000;
    const account = this.accountOf(task);
    account.cpuMilliSeconds += reserved.cpuMilli * heldSeconds;
    account.memoryByteSeconds += reserved.memoryBytes * heldSeconds;
    account.acceleratorSeconds += reserved.accelerators * heldSeconds;
    delete task.worker;
    delete task.reserved;
    delete task.claimedAtMs;
  }

  /** Counts a task as over, and its job with its last task. */
  end(task: TaskRow, atMs: number): void {
    const row = this.jobs.get(task.job);
    if (row === undefined) return;
    row.unfinished -= 1;
    if (row.unfinished === 0) row.endedAtMs = atMs;
  }

  /** The account that a task's use is booked to. */
  accountOf(task: TaskRow): AccountRow {
    const row = this.jobs.get(task.job);
    if (row === undefined) throw new Error(`no job ${task.job}`);
    const { member, pool, term } = row.job;
    const key = `${member} ${pool} ${term}`;
    const known = this.accounts.get(key);
    if (known !== undefined) return known;
    const account: AccountRow = {
      member,
      pool,
      term,
      cpuMilliSeconds: 0,
      memoryByteSeconds: 0,
      acceleratorSeconds: 0,
      finishedTasks: 0,
      evictions: 0,
    };
    this.accounts.set(key, account);
    return account;
  }

  /** Starts a worker's row, or refreshes what it declares. */
  putWorker(row: Omit<WorkerRow, "tasks" | "used">): WorkerRow {
    this.workersVersion += 1;
    const known = this.workers.get(row.id);
    if (known !== undefined) {
      known.bootId = row.bootId;
      known.capacity = row.capacity;
      known.labels = row.labels;
      return known;
    }
    const fresh: WorkerRow = {
      ...row,
      used: { cpuMilli: 0, memoryBytes: 0, accelerators: 0 },
      tasks: new Set(),
    };
    this.workers.set(row.id, fresh);
    return fresh;
  }

  #book(
    task: TaskRow,
    amount: Resources,
    change: (a: Resources, b: Resources) => Resources,
  ): void {
    const member = this.jobs.get(task.job)?.job.member;
    if (member === undefined) return;
    const before = this.memberUse.get(member) ?? noResources;
    this.memberUse.set(member, change(before, amount));
  }
}
