import type { Resources } from "../src/schema/resources.ts";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../src/core/cell/job_progress_row.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { runKey } from "../src/core/jobs/run_key.ts";
import type { RunOutcome } from "../src/core/jobs/run_outcome.ts";
import type { RunStatus } from "../src/core/jobs/run_status.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import { CellFixture } from "./cell_fixture.ts";

/** From a crash to the first report of the runner's next life. */
const downMs = 3_400;
/** How long a sound run is active before it is done. */
const runMs = 900;
const stepMs = 100;
/** A run that is active for this long has started up. */
const startupMs = 300;

/** Workers that crash when they start certain tasks, and do others well. */
export class CrashFixture {
  fixture = new CellFixture();
  /** The tasks that crash each worker that starts them. */
  readonly deadly = new Set<string>();
  /** How often each task was started. */
  readonly startCounts = new Map<string, number>();
  /** The capacities of workers that differ from the usual one. */
  readonly capacities = new Map<string, Resources>();
  /** How long after its start such a task crashes its worker. */
  crashAfterMs = 0;
  /** How many of the next crashes the worker's sidecar is restarted after. */
  sidecarRestarts = 0;
  /** Whether another keeper takes over after each crash. */
  changesKeeper = false;
  readonly #lives = new Map<string, number>();
  readonly #crashedStarts = new Map<string, readonly string[] | undefined>();
  /** The workers whose sidecar was restarted after the last crash. */
  readonly #forgetful = new Set<string>();
  readonly #upAtMs = new Map<string, number>();
  /** When the active run of each task began. */
  readonly #beganAtMs = new Map<string, number>();
  /** When the workers that have started such tasks crash. */
  readonly #crashAtMs = new Map<string, number>();

  constructor(readonly nodes: readonly string[]) {
    for (const node of nodes) this.#lives.set(node, 1);
    for (const node of nodes) this.report(node);
  }

  submit(id: string, steps: readonly StepDefinition[]): void {
    this.fixture.submit(id, steps);
  }

  /** Reports what a worker runs, in its current life. */
  report(node: string, change: Partial<SidecarReport> = {}): void {
    const life = `${node}@${this.#lives.get(node)}` as RunnerLife;
    const running = this.#runningOn(node);
    const startingUp = this.#startingUpOn(node);
    const crashedStarts = this.#crashedStarts.get(node);
    const isLifeBeforeUnknown = this.#forgetful.has(node);
    const report = {
      life,
      running,
      startingUp,
      crashedStarts,
      isLifeBeforeUnknown,
      isPredecessorSettled: !isLifeBeforeUnknown,
      ...this.#capacityOf(node),
      ...change,
    };
    this.fixture.reportWorker(node, report);
  }

  /**
   * Ends a worker's life, by a crash or an announced exit; the next one reports
   * after a while.
   */
  crash(node: string, isExit = false): void {
    this.#crashAtMs.delete(node);
    this.#lives.set(node, this.#lives.get(node)! + 1);
    this.#upAtMs.set(node, this.fixture.nowMs + downMs);
    const crashedStarts = this.#startingUpOn(node);
    this.#crashedStarts.set(node, isExit ? undefined : crashedStarts);
    this.#forgetful.delete(node);
    if (this.sidecarRestarts > 0) {
      this.sidecarRestarts -= 1;
      this.#crashedStarts.delete(node);
      this.#forgetful.add(node);
    }
    for (const { name } of this.fixture.runsOn(node)) {
      this.#beganAtMs.delete(name);
    }
    if (this.changesKeeper) this.#replaceKeeper();
  }

  /** Lets time pass, and crashes workers as often as deadly tasks start. */
  play(forMs: number): void {
    const untilMs = this.fixture.nowMs + forMs;
    while (this.fixture.nowMs < untilMs) {
      this.fixture.advance(stepMs);
      for (const start of this.fixture.newStarts()) this.#start(start);
      for (const [node, atMs] of this.#crashAtMs) {
        if (this.fixture.nowMs >= atMs) this.crash(node);
      }
      for (const stop of this.fixture.newStops()) this.#stop(stop);
      for (const node of this.nodes) {
        if (this.#isUp(node)) this.#work(node);
      }
    }
  }

  /** The worker that a task is claimed on. */
  workerOf(task: string): string | undefined {
    return this.nodes.find((node) =>
      this.fixture.runsOn(node).some(({ name }) => name === task)
    );
  }

  #isUp(node: string): boolean {
    return this.fixture.nowMs >= (this.#upAtMs.get(node) ?? 0);
  }

  #start(start: string): void {
    const { task, run, node } = parseRun(start);
    if (!this.#isUp(node)) {
      this.#breakOff(node, runKey({ task: task as TaskName, run }));
      return;
    }
    this.startCounts.set(task, (this.startCounts.get(task) ?? 0) + 1);
    this.#beganAtMs.set(task, this.fixture.nowMs);
    if (!this.deadly.has(task) || this.#crashAtMs.has(node)) return;
    this.#crashAtMs.set(node, this.fixture.nowMs + this.crashAfterMs);
  }

  /** A start that arrives just after a crash breaks off, a later one is lost. */
  #breakOff(node: string, key: string): void {
    const crashedAtMs = this.#upAtMs.get(node)! - downMs;
    const starts = this.#crashedStarts.get(node);
    if (starts === undefined || this.fixture.nowMs > crashedAtMs + stepMs) {
      return;
    }
    this.#crashedStarts.set(node, [...starts, key]);
  }

  #stop(stop: string): void {
    const { task, run, node } = parseRun(stop);
    if (!this.#isUp(node)) return;
    if (this.#beganAtMs.has(task)) this.#end(node, task, run, "stopped");
    // A gate refuses a run that its runner has not, and will reject.
    else this.fixture.refuse(node, task, run, "old");
  }

  #work(node: string): void {
    this.report(node);
    for (const { name, run, group } of this.fixture.runsOn(node)) {
      const { isGang, isService } = group.definition;
      const isWhole = group.tasks.every((each) =>
        this.#beganAtMs.has(each.name)
      );
      if (isService || this.#ageMs(name) < runMs || (isGang && !isWhole)) {
        continue;
      }
      this.#end(node, name, run, "done");
    }
  }

  #end(node: string, name: string, run: number, outcome: RunOutcome): void {
    const life = `${node}@${this.#lives.get(node)}` as RunnerLife;
    const running = this.#runningOn(node).filter(({ task }) => task !== name);
    this.#beganAtMs.delete(name);
    const startingUp = this.#startingUpOn(node);
    const capacity = this.#capacityOf(node);
    const report = { life, running, startingUp, ...capacity };
    this.fixture.endRun(node, name, run, outcome, "", report);
  }

  /** How long a task's run has been active; negative if it has none. */
  #ageMs(task: string): number {
    return this.fixture.nowMs - (this.#beganAtMs.get(task) ?? Infinity);
  }

  #capacityOf(node: string): Partial<SidecarReport> {
    const capacity = this.capacities.get(node);
    return capacity === undefined ? {} : { capacity };
  }

  #startingUpOn(node: string): string[] {
    return this.#runningOn(node)
      .filter(({ task }) => this.#ageMs(task) < startupMs)
      .map(runKey);
  }

  #runningOn(node: string): RunStatus[] {
    return this.fixture.runningOn(node)
      .filter(({ task }) => this.#beganAtMs.has(task))
      .map((status) => {
        const { isService } = this.fixture.cell.task(status.task)!.group
          .definition;
        return { ...status, percent: isService ? 100 : 50 };
      });
  }

  #replaceKeeper(): void {
    const next = new CellFixture();
    next.nowMs = this.fixture.nowMs;
    next.wallMs = this.fixture.wallMs;
    for (const job of this.fixture.cell.jobs.values()) {
      const row = JSON.parse(JSON.stringify(encodeJob(job))) as JobProgressRow;
      next.cell.load(decodeJob(job.definition, row, next.nowMs));
    }
    // End numbers go on in the lives of the workers.
    for (const node of this.nodes) {
      const { lastEnd } = this.fixture.cell.worker(node as NodeId);
      next.skipEnds(lastEnd);
    }
    this.fixture = next;
  }
}

/** Parses a run as the fixture names it, `task#run@node`. */
function parseRun(text: string): { task: string; run: number; node: string } {
  const [, task = "", run = "", node = ""] = /^(.*)#(\d+)@(.*)$/.exec(text) ??
    [];
  return { task, run: Number(run), node };
}
