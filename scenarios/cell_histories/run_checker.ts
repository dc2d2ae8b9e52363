import type { JobDefinition } from "../../src/core/jobs/job_definition.ts";
import type { JobId } from "../../src/core/jobs/job_id.ts";
import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import type { RunEnd } from "../../src/core/jobs/run_end.ts";
import type { RunId } from "../../src/core/jobs/run_id.ts";
import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import type { TaskName } from "../../src/core/jobs/task_name.ts";
import type { JobState } from "../../src/core/jobs/job_state.ts";
import type { ServiceTask } from "./service_task.ts";
import { taskNamesOf } from "./task_names_of.ts";

interface TaskRecord {
  /** The workers on which a run of it is active. */
  readonly workers: Set<string>;
  isDone: boolean;
  isDoneNoted: boolean;
  failures: number;
  notedFailures: number;
  /** How many runners have crashed under it, and how many by its doing. */
  lostLives: number;
  crashes: number;
  startsAfterCrashes: number;
}

/** A task that has crashed so many runners is started less than as often more. */
const crashLimit = 3;
/** Under a task that is given up so many runners must have crashed. */
const crashesToGiveUp = 2;
/** How long after a worker has shrunk its earlier capacity counts. */
const shrinkGraceMs = 4_000;

interface JobRecord {
  readonly definition: JobDefinition;
  isCancelled: boolean;
  /** Whether it was shown as failed, which is checked then. */
  isFailed: boolean;
  readonly submittedAtMs: number;
}

/**
 * Checks what the runners of a history see against what was submitted, without
 * a look at the state of any process.
 */
export class RunChecker {
  readonly jobs = new Map<JobId, JobRecord>();
  readonly violations: string[] = [];
  /** The tasks that crash each runner that starts them. */
  readonly crashingTasks = new Set<TaskName>();
  checks = 0;
  readonly #tasks = new Map<TaskName, TaskRecord>();
  readonly #used = new Map<string, number>();
  /** The capacities of each worker, each with the time until which it counts. */
  readonly #capacities = new Map<
    string,
    { milli: number; untilMs: number }[]
  >();

  /** When the evacuation of each data centre was acknowledged. */
  readonly #evacuatedAtMs = new Map<string, number>();

  constructor(
    readonly capacityMilli: number,
    readonly maxAttempts: number,
    readonly evacuateMs = Infinity,
  ) {}

  evacuated(zone: string, nowMs: number): void {
    if (!this.isEvacuated(zone)) this.#evacuatedAtMs.set(zone, nowMs);
  }

  reopened(zone: string): void {
    this.#evacuatedAtMs.delete(zone);
  }

  isEvacuated(zone: string): boolean {
    return this.#evacuatedAtMs.has(zone);
  }

  /** Checks the bound of an evacuation when a run starts. */
  startedIn(zone: string, { task, run }: RunId, nowMs: number): void {
    const sinceMs = nowMs - (this.#evacuatedAtMs.get(zone) ?? nowMs);
    this.#check(
      sinceMs < this.evacuateMs,
      "EVACUATED",
      `${task}#${run} in ${zone} after ${sinceMs} ms`,
    );
  }

  submit(definition: JobDefinition, nowMs: number): void {
    const submittedAtMs = nowMs;
    const job = {
      definition,
      isCancelled: false,
      isFailed: false,
      submittedAtMs,
    };
    this.jobs.set(definition.id, job);
  }

  /** The tasks of services that are to run. */
  *serviceTasks(): Generator<ServiceTask> {
    for (const job of this.jobs.values()) {
      const { definition, isCancelled, isFailed, submittedAtMs } = job;
      if (isCancelled || isFailed) continue;
      for (const [index, step] of definition.steps.entries()) {
        if (!step.isService) continue;
        for (const name of taskNamesOf(definition, index)) {
          const isRunning = this.#task(name).workers.size > 0;
          yield { name, step, isRunning, submittedAtMs };
        }
      }
    }
  }

  stepOf(task: TaskName): StepDefinition | undefined {
    const position = parseTaskName(task);
    const job = this.jobs.get(position?.job ?? "" as JobId);
    return job?.definition.steps[position?.step ?? -1];
  }

  /** Whether a worker's capacity and other tasks leave room for a task. */
  hasRoom(worker: string, { name, step }: ServiceTask): boolean {
    const used = this.#used.get(worker) ?? 0;
    const capacity = this.#capacities.get(worker)?.at(-1)?.milli ??
      this.capacityMilli;
    if (used + step.resources.cpuMilli > capacity) return false;
    if (step.mostPerWorker === 0) return true;
    const group = name.slice(0, name.lastIndexOf(".") + 1);
    const beside = [...this.#tasks].filter(([other, { workers }]) =>
      other.startsWith(group) && workers.has(worker)
    );
    return beside.length < step.mostPerWorker;
  }

  /** A worker's capacity has changed; a larger one counts for a while longer. */
  resized(worker: string, milli: number, nowMs: number): void {
    const known = this.#capacities.get(worker) ??
      [{ milli: this.capacityMilli, untilMs: Infinity }];
    const untilMs = nowMs + shrinkGraceMs;
    const earlier = known.map((each) => ({
      milli: each.milli,
      untilMs: Math.min(each.untilMs, untilMs),
    }));
    this.#capacities.set(worker, [...earlier, { milli, untilMs: Infinity }]);
  }

  /** A run has crashed its runner. */
  crashed(worker: string, task: TaskName): void {
    const record = this.#task(task);
    if (record.workers.has(worker)) record.crashes += 1;
  }

  started(
    worker: string,
    { task, run }: RunId,
    payload: string,
    nowMs: number,
  ): void {
    const position = parseTaskName(task);
    const job = position === undefined
      ? undefined
      : this.jobs.get(position.job);
    const step = job?.definition.steps[position?.step ?? -1];
    const name = `${task}#${run} on ${worker}`;
    if (job === undefined || step === undefined || position === undefined) {
      this.#fail("UNASKED", name);
      return;
    }
    const record = this.#task(task);
    const others = [...record.workers].join();
    this.#check(record.workers.size === 0, "TWICE", `${name} beside ${others}`);
    this.#check(!record.isDoneNoted, "TWICE", `${name} after it was done`);
    this.#check(
      step.isService || record.notedFailures < this.maxAttempts,
      "BUDGET",
      `${name} after ${record.notedFailures} failures`,
    );
    if (record.crashes >= crashLimit) record.startsAfterCrashes += 1;
    this.#check(
      record.startsAfterCrashes < crashLimit,
      "BUDGET",
      `${name} after ${record.crashes} crashes`,
    );
    this.#check(
      payload === job.definition.payload,
      "UNASKED",
      `${name} payload`,
    );
    for (const earlier of step.after) {
      const isDone = this.#isStepDone(job.definition, earlier);
      this.#check(isDone, "ORDER", `${name} before step ${earlier}`);
    }
    record.workers.add(worker);
    this.#use(worker, step, 1);
    const used = this.#used.get(worker) ?? 0;
    const capacity = this.#capacityOf(worker, nowMs);
    this.#check(used <= capacity, "LIMIT", `${name}: ${used} of ${capacity}`);
  }

  ended(worker: string, { task, outcome }: RunEnd): void {
    const record = this.#task(task);
    if (!record.workers.delete(worker)) return;
    if (outcome === "done") record.isDone = true;
    if (outcome === "failed") record.failures += 1;
    this.#release(worker, task);
  }

  /** The runner has lost all its runs with its life. */
  lostLife(worker: string): void {
    for (const record of this.#tasks.values()) {
      if (record.workers.delete(worker)) record.lostLives += 1;
    }
    this.#used.delete(worker);
  }

  /** An end was taken note of, with no lapse of the lease since it came. */
  noted({ task, outcome }: RunEnd): void {
    if (outcome === "done") this.#task(task).isDoneNoted = true;
    if (outcome === "failed") this.#task(task).notedFailures += 1;
  }

  /** Checks a state that a keeper has shown. */
  shown(id: JobId, state: JobState | undefined): void {
    const job = this.jobs.get(id);
    if (job === undefined || state === undefined) return;
    const { definition } = job;
    if (state === "completed") {
      const isDone = definition.steps.every((_, step) =>
        this.#isStepDone(definition, step)
      );
      this.#check(isDone, "MIXED", `${id} completed too early`);
    }
    if (state === "failed") {
      job.isFailed = true;
      const isSpent = [...taskNamesOf(definition)].some((name) => {
        const { failures, lostLives } = this.#task(name);
        return failures >= this.maxAttempts || lostLives >= crashesToGiveUp;
      });
      this.#check(isSpent, "LOST", `${id} failed without cause`);
    }
    if (state === "cancelled") {
      this.#check(job.isCancelled, "LOST", `${id} cancelled without cause`);
    }
  }

  /** Checks that all work has ended, by the states that a keeper shows. */
  checkEnd(stateOf: (id: JobId) => JobState | undefined): void {
    for (const [id, { definition, isCancelled }] of this.jobs) {
      const state = stateOf(id);
      this.shown(id, state);
      const isEnded = state === "completed" || state === "failed" ||
        (isCancelled && state === "cancelled");
      this.#check(isEnded, "LOST", `${id} is ${state ?? "unknown"} at the end`);
      for (const name of taskNamesOf(definition)) {
        const { workers } = this.#task(name);
        this.#check(workers.size === 0, "UNASKED", `${name} runs at the end`);
      }
    }
  }

  #use(worker: string, step: StepDefinition, sign: 1 | -1): void {
    const used = (this.#used.get(worker) ?? 0) + sign * step.resources.cpuMilli;
    this.#used.set(worker, used);
  }

  /** The largest capacity of a worker that counts now. */
  #capacityOf(worker: string, nowMs: number): number {
    const known = this.#capacities.get(worker);
    if (known === undefined) return this.capacityMilli;
    const counting = known.filter(({ untilMs }) => nowMs < untilMs);
    return Math.max(...counting.map(({ milli }) => milli));
  }

  #release(worker: string, task: TaskName): void {
    const step = this.stepOf(task);
    if (step !== undefined) this.#use(worker, step, -1);
  }

  #isStepDone(definition: JobDefinition, step: number): boolean {
    for (const name of taskNamesOf(definition, step)) {
      if (!this.#task(name).isDone) return false;
    }
    return true;
  }

  #task(name: TaskName): TaskRecord {
    const known = this.#tasks.get(name);
    if (known !== undefined) return known;
    const record = {
      workers: new Set<string>(),
      isDone: false,
      isDoneNoted: false,
      failures: 0,
      notedFailures: 0,
      lostLives: 0,
      crashes: 0,
      startsAfterCrashes: 0,
    };
    this.#tasks.set(name, record);
    return record;
  }

  #check(isKept: boolean, rule: string, detail: string): void {
    this.checks += 1;
    if (!isKept) this.#fail(rule, detail);
  }

  #fail(rule: string, detail: string): void {
    this.violations.push(`${rule}: ${detail}`);
  }
}
