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

/** The state of a cell, derived from the records of its stream. */
export class CellLedger {
  /** Offset of the next record to apply. */
  nextOffset = 0;
  epoch: EpochRow | undefined;
  /** Increases whenever a worker is added, updated or removed. */
  workersVersion = 0;
  readonly workers = new Map<WorkerId, WorkerRow>();
  readonly jobs = new Map<JobId, JobRow>();
  readonly tasks = new Map<TaskId, TaskRow>();
  /** Tasks that need a worker. */
  readonly waiting = new Set<TaskId>();
  /** The waiting tasks of urgent jobs. */
  readonly urgentWaiting = new Set<TaskId>();
  /** By member, pool and term, joined by spaces. */
  readonly accounts = new Map<string, AccountRow>();
  /** Total reservations of each member's claimed tasks. */
  readonly reservedByMember = new Map<MemberId, Resources>();

  /** Applies an event to a task; returns false if its state forbids it. */
  transition(task: TaskRow, event: TaskEvent): boolean {
    const next = taskChart.next(task.state, event);
    if (next === undefined) return false;
    task.state = next;
    if (next === "waiting") this.enqueue(task);
    else this.dequeue(task);
    return true;
  }

  /** Adds a task to those that need a worker. */
  enqueue(task: TaskRow): void {
    this.waiting.add(task.id);
    const isUrgent = this.jobs.get(task.job)?.job.urgent ?? false;
    if (isUrgent) this.urgentWaiting.add(task.id);
  }

  /** Removes a task from those that need a worker. */
  dequeue(task: TaskRow): void {
    this.waiting.delete(task.id);
    this.urgentWaiting.delete(task.id);
  }

  /** Adds a task and its reservation to a worker. */
  assign(task: TaskRow, worker: WorkerRow): void {
    if (task.reserved === undefined) return;
    worker.used = addResources(worker.used, task.reserved);
    worker.tasks.add(task.id);
    this.#updateMemberTotal(task, task.reserved, addResources);
  }

  /** Removes a task from its worker and charges the time that it held it. */
  unassign(task: TaskRow, atMs: number): void {
    const { worker: workerId, reserved, claimedAtMs } = task;
    if (workerId === undefined || reserved === undefined) return;
    const worker = this.workers.get(workerId);
    if (worker?.tasks.delete(task.id)) {
      worker.used = subtractResources(worker.used, reserved);
      this.#updateMemberTotal(task, reserved, subtractResources);
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

  /** Counts a task as ended; the last one ends its job. */
  recordTaskEnd(task: TaskRow, atMs: number): void {
    const row = this.jobs.get(task.job);
    if (row === undefined) return;
    row.unfinished -= 1;
    if (row.unfinished === 0) row.endedAtMs = atMs;
  }

  /** The account that a task's usage is charged to. */
  accountOf(task: TaskRow): AccountRow {
    const row = this.jobs.get(task.job);
    if (row === undefined) throw new Error(`unknown job ${task.job}`);
    const { member, pool, term } = row.job;
    const key = `${member} ${pool} ${term}`;
    const existing = this.accounts.get(key);
    if (existing !== undefined) return existing;
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

  /** Adds a worker, or updates what a existing one declares. */
  upsertWorker(row: Omit<WorkerRow, "tasks" | "used">): WorkerRow {
    this.workersVersion += 1;
    const existing = this.workers.get(row.id);
    if (existing !== undefined) {
      existing.bootId = row.bootId;
      existing.capacity = row.capacity;
      existing.labels = row.labels;
      return existing;
    }
    const added: WorkerRow = {
      ...row,
      used: { cpuMilli: 0, memoryBytes: 0, accelerators: 0 },
      tasks: new Set(),
    };
    this.workers.set(row.id, added);
    return added;
  }

  #updateMemberTotal(
    task: TaskRow,
    amount: Resources,
    change: (a: Resources, b: Resources) => Resources,
  ): void {
    const member = this.jobs.get(task.job)?.job.member;
    if (member === undefined) return;
    const before = this.reservedByMember.get(member) ?? noResources;
    this.reservedByMember.set(member, change(before, amount));
  }
}
