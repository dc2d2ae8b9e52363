import type { Resources } from "../../src/schema/resources.ts";
import type { TaskId } from "../../src/schema/task_id.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import type { TaskReport } from "../../src/core/worker/task_report.ts";
import { digestTasks } from "../../src/core/worker/digest_tasks.ts";
import type { WorkerAnswer } from "../../src/core/worker/worker_answer.ts";
import type { WorkerOp } from "../../src/core/worker/worker_op.ts";
import type { WorkerCommand } from "../../src/core/worker/worker_command.ts";
import type { WorkerReport } from "../../src/core/worker/worker_report.ts";
import type { TaskAttempt } from "./task_attempt.ts";
import type { TaskBehaviour } from "./task_behaviour.ts";

/** Reports leave out an attempt's use until it has run this long. */
const usageLagMs = 2_000;

/** Model of a worker: runs attempts of tasks under leases by its own clock. */
export class WorkerModel {
  /** Whether every attempt that ends by itself fails. */
  failsEverything = false;
  /** How many attempts were started or refused on a start command. */
  startCount = 0;
  readonly #tasks = new Map<TaskId, TaskAttempt>();
  /** Newest forgotten attempt of each task; it and older ones never start. */
  readonly #forgotten = new Map<TaskId, number>();

  constructor(
    readonly id: WorkerId,
    readonly bootId: string,
    readonly capacity: Resources,
  ) {}

  /** Applies a command, unless it is expired or for another boot; reports. */
  apply(command: WorkerCommand | undefined, nowMs: number): WorkerAnswer {
    this.advance(nowMs);
    const isCurrent = command !== undefined && command.bootId === this.bootId &&
      nowMs < command.validUntilMs;
    if (isCurrent) {
      this.#renewAll(command, nowMs);
      for (const op of command.ops) this.#exec(op, command.validUntilMs, nowMs);
    }
    const report = this.report(nowMs);
    if (!isCurrent || command.knownDigest !== report.digest) return report;
    const { worker, bootId, clockMs, digest } = report;
    return { worker, bootId, clockMs, digest };
  }

  /** Brings all attempts up to this time: they finish, fail or lapse. */
  advance(nowMs: number): void {
    for (const task of this.#tasks.values()) {
      if (task.state !== "running") continue;
      const remainingMs = (task.runMs - task.progressMs) / task.share;
      const endAtMs = task.progressAtMs + remainingMs;
      if (nowMs >= endAtMs && endAtMs <= task.leaseUntilMs) {
        task.progressMs = task.runMs;
        const fails = task.input.fails || this.failsEverything;
        task.state = fails ? "failed" : "finished";
      } else if (nowMs >= task.leaseUntilMs) {
        updateProgress(task, task.leaseUntilMs);
        task.state = "lapsed";
      }
    }
  }

  /** Yields the attempts that are running. */
  *runningAttempts(): Generator<
    { readonly id: TaskId; readonly task: TaskAttempt }
  > {
    for (const [id, task] of this.#tasks) {
      if (task.state === "running") yield { id, task };
    }
  }

  /** Builds the worker's full report. */
  report(nowMs: number): WorkerReport {
    const tasks = [...this.#tasks].map(([id, task]) =>
      reportAttempt(id, task, nowMs)
    );
    const { id: worker, bootId, capacity } = this;
    const digest = digestTasks(tasks);
    return { worker, bootId, clockMs: nowMs, capacity, tasks, digest };
  }

  #renewAll({ renewDigest, validUntilMs }: WorkerCommand, nowMs: number): void {
    if (renewDigest === undefined) return;
    if (renewDigest !== this.report(nowMs).digest) return;
    for (const { task } of this.runningAttempts()) {
      task.leaseUntilMs = Math.max(task.leaseUntilMs, validUntilMs);
    }
  }

  #exec(op: WorkerOp, leaseUntilMs: number, nowMs: number): void {
    const existing = this.#tasks.get(op.task);
    if (op.op === "start") {
      this.#start(op, existing, leaseUntilMs, nowMs);
      return;
    }
    if (op.op === "stop" && existing === undefined) {
      this.#refuseUnstarted(op.task, op.attempt, nowMs);
      return;
    }
    if (existing?.attempt !== op.attempt) return;
    switch (op.op) {
      case "renew":
        if (existing.state !== "running") return;
        existing.leaseUntilMs = Math.max(existing.leaseUntilMs, leaseUntilMs);
        return;
      case "stop":
        if (existing.state !== "running") return;
        updateProgress(existing, nowMs);
        existing.state = "stopped";
        return;
      case "throttle":
        updateProgress(existing, nowMs);
        existing.share = op.share;
        return;
      case "forget":
        if (existing.state === "running") return;
        this.#tasks.delete(op.task);
        this.#recordForgotten(op.task, op.attempt);
        return;
    }
  }

  #start(
    op: Extract<WorkerOp, { op: "start" }>,
    existing: TaskAttempt | undefined,
    leaseUntilMs: number,
    nowMs: number,
  ): void {
    const newestAttempt = Math.max(
      existing?.attempt ?? 0,
      this.#forgotten.get(op.task) ?? 0,
    );
    if (op.attempt <= newestAttempt) return;
    if (existing?.state === "running") return;
    const input = (op.input ?? {}) as TaskBehaviour;
    this.startCount += 1;
    this.#tasks.set(op.task, {
      attempt: op.attempt,
      reserved: op.reserved,
      template: op.template,
      input,
      runMs: this.failsEverything ? 50 : input.actualRunMs ?? op.runMs,
      progressMs: parseCheckpoint(op.checkpoint),
      progressAtMs: nowMs,
      startedAtMs: nowMs,
      share: 1,
      leaseUntilMs,
      state: input.refused ? "refused" : "running",
    });
  }

  /** A stop for an unknown attempt: records it, so that it never starts. */
  #refuseUnstarted(task: TaskId, attempt: number, nowMs: number): void {
    if (attempt <= (this.#forgotten.get(task) ?? 0)) return;
    this.#tasks.set(task, {
      attempt,
      reserved: { cpuMilli: 0, memoryBytes: 0, accelerators: 0 },
      template: "",
      input: {},
      runMs: 0,
      progressMs: 0,
      progressAtMs: nowMs,
      startedAtMs: nowMs,
      share: 1,
      leaseUntilMs: nowMs,
      state: "refused",
    });
  }

  #recordForgotten(task: TaskId, attempt: number): void {
    const newest = this.#forgotten.get(task) ?? 0;
    this.#forgotten.set(task, Math.max(newest, attempt));
  }
}

function updateProgress(task: TaskAttempt, nowMs: number): void {
  const addedMs = Math.max(0, nowMs - task.progressAtMs) * task.share;
  task.progressMs = Math.min(task.runMs, task.progressMs + addedMs);
  task.progressAtMs = nowMs;
}

function parseCheckpoint(checkpoint: string | undefined): number {
  return Number(checkpoint?.split(":").at(-1) ?? 0);
}

function reportAttempt(
  id: TaskId,
  task: TaskAttempt,
  nowMs: number,
): TaskReport {
  const base = { task: id, attempt: task.attempt, state: task.state };
  const { state, input, reserved } = task;
  if (state === "finished") return { ...base, result: `done ${id}` };
  if (state === "failed") return { ...base, detail: "exit status 1" };
  if (state === "refused") return base;
  if (state === "stopped" || state === "lapsed") {
    const progressMs = Math.floor(task.progressMs);
    return { ...base, checkpoint: `${id}@${task.attempt}:${progressMs}` };
  }
  const runningReport = task.share === 1
    ? base
    : { ...base, share: task.share };
  if (nowMs - task.startedAtMs < usageLagMs) return runningReport;
  return {
    ...runningReport,
    usedCpuMilli: input.usesCpuMilli ?? reserved.cpuMilli,
    usedMemoryBytes: input.usesMemoryBytes ?? reserved.memoryBytes,
  };
}
