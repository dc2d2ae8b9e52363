import { runKey } from "../../src/core/jobs/run_key.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { RunnerModel } from "../../stand_ins/runner/runner_model.ts";
import type { GuaranteeChecker } from "./guarantee_checker.ts";
import { RunTrace } from "./run_trace.ts";
import type { RunnerRequest } from "./runner_request.ts";

/** What a runner has room for. */
export const capacityMilli = 4_000;

interface ActiveRun {
  readonly begunAtMs: number;
  readonly doneAtMs: number;
  readonly cpuMilli: number;
  readonly outcome: "done" | "failed";
}

/** Ends a runner's runs when they are due, and tells the checker of them. */
export class RunObserver {
  /** Called when a run has begun whose task crashes its runner. */
  onCrashingRun: () => void = () => {};
  /** Whether the runner's process is away. */
  isDown = false;
  /** The start of the present life, in Unix time. */
  bornMs = Date.now();
  readonly trace = new RunTrace();
  /** The runs that the checker knows of. */
  readonly #active = new Map<string, ActiveRun>();
  /** The spec that each start carried, by run key. */
  readonly #specs = new Map<string, string>();
  #lastEndNumber = 0;

  constructor(
    readonly name: string,
    readonly checker: GuaranteeChecker,
    public model: RunnerModel,
  ) {}

  get activeTasks(): Iterable<string> {
    return this.#active.keys();
  }

  get freeMilli(): number {
    let used = 0;
    for (const { cpuMilli } of this.#active.values()) used += cpuMilli;
    return capacityMilli - used;
  }

  /** The progress of a run; a task that lasts is at work at once. */
  percentOf(task: string): number {
    const active = this.#active.get(task);
    if (active === undefined) return 0;
    if (this.checker.stepOf(task)?.lasts) return 100;
    const { begunAtMs, doneAtMs } = active;
    const share = (performance.now() - begunAtMs) / (doneAtMs - begunAtMs);
    return Math.min(99, Math.floor(share * 100));
  }

  /** Begins a life, in which ends are numbered from 1. */
  beginLife(): void {
    this.bornMs = Date.now();
    this.#lastEndNumber = 0;
  }

  /** All runs have ended with their runner. */
  endAll(isCrash: boolean): void {
    if (isCrash) this.checker.onRunnerCrashed(this.name, this.#active.keys());
    for (const task of this.#active.keys()) {
      this.note(task, "ends with all its runs");
      this.checker.onRunEnded(this.name, task, "stopped");
    }
    this.#active.clear();
  }

  /** Notes a call that arrives. */
  takeCall(kind: "start" | "stop", request: RunnerRequest): void {
    const { task, run, spec, deadlineMs = 0 } = request;
    if (kind === "start") this.#specs.set(runKey(request), spec ?? "");
    const leaseMs = Math.round(deadlineMs - this.model.clockMs);
    const lease = kind === "start" ? `, lease of ${leaseMs} ms` : "";
    this.note(task, `takes the ${kind} of run ${run}${lease}`);
  }

  /** Ends runs that are due, and reports starts and ends to the checker. */
  update(): void {
    const { model } = this;
    if (this.isDown) return;
    for (const { task, run } of [...model.running.values()]) {
      if (!this.#active.has(task)) this.#onRunFound(task, run);
    }
    this.settleLease();
    for (const [task, { doneAtMs, outcome }] of this.#active) {
      if (doneAtMs <= performance.now()) model.end(task, outcome);
    }
    this.settleLease();
  }

  /** Ends the runs whose lease has ended, and reports all ends. */
  settleLease(): void {
    if (this.isDown) return;
    this.model.endIfLapsed();
    for (const { number, task, run, outcome } of this.model.ends) {
      if (number <= this.#lastEndNumber) continue;
      this.#lastEndNumber = number;
      this.note(task, `lists the end of run ${run}: ${outcome}`);
      this.#active.delete(task);
      this.checker.onRunEnded(this.name, task, outcome);
    }
  }

  #onRunFound(task: TaskName, run: number): void {
    const { checker, model } = this;
    const leaseMs = Math.round(model.leaseEndClockMs - model.clockMs);
    this.note(task, `begins run ${run}, with a lease of ${leaseMs} ms`);
    const step = checker.stepOf(task);
    const cpuMilli = step?.cpuMilli ?? 0;
    const outcome = step?.lasts ? "failed" : "done";
    const spec = this.#specs.get(runKey({ task, run })) ?? "";
    checker.onRunStarted(this.name, task, spec);
    if (checker.crashes(task)) this.onCrashingRun();
    const begunAtMs = performance.now();
    const doneAtMs = begunAtMs + (step?.ms ?? 0);
    this.#active.set(task, { begunAtMs, doneAtMs, cpuMilli, outcome });
    const { freeMilli } = this;
    if (freeMilli < 0) {
      checker.fail(
        "over capacity",
        `${capacityMilli - freeMilli} of ${capacityMilli} on ${this.name}`,
      );
    }
  }

  note(task: string, line: string): void {
    this.trace.add(task, `${this.name}, born ${this.bornMs}, ${line}`);
  }
}
