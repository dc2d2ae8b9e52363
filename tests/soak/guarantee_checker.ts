import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import type { RunOutcome } from "../../src/core/jobs/run_outcome.ts";
import type { SoakJob } from "./soak_job.ts";
import { taskNamesOf } from "./task_names_of.ts";

/** In calm a task that crashes runners starts thrice, and twice more at most. */
const maxCrashingStarts = 5;

interface TaskHistory {
  /** The runners on which a run of the task is active. */
  readonly runners: Set<string>;
  isDone: boolean;
  /** The keeper has acknowledged that a run of it ended as `done`. */
  isAcked: boolean;
  /** How many runners have crashed under it. */
  crashes: number;
  calmStarts: number;
}

/**
 * Checks what callers and runners observe against the guarantees of the
 * scheduler, without looking at its state.
 */
export class GuaranteeChecker {
  readonly violations: string[] = [];
  /** Whether all faults have ended. */
  isCalm = false;
  readonly jobs = new Map<string, SoakJob>();
  /** Called before a start on a runner counts: reports what others have ended. */
  settle: (runner: string) => void = () => {};
  readonly #histories = new Map<string, TaskHistory>();

  fail(guarantee: string, detail: string): void {
    this.violations.push(`${guarantee}: ${detail}`);
  }

  /** A runner has started a run. */
  onRunStarted(runner: string, task: string, payload: string): void {
    const position = parseTaskName(task);
    const job = this.jobs.get(position?.job ?? "");
    if (
      position === undefined || job === undefined || job.payload !== payload
    ) {
      this.fail("unrequested run", `${task} on ${runner}`);
      return;
    }
    job.hasRun = true;
    this.settle(runner);
    const history = this.#task(task);
    if (history.runners.size > 0) {
      this.fail(
        "duplicate run",
        `${task} on ${runner} and ${[...history.runners]}`,
      );
    }
    if (history.isAcked) this.fail("duplicate run", `${task} has ended`);
    if (this.isCalm) history.calmStarts += 1;
    if (this.crashes(task) && history.calmStarts > maxCrashingStarts) {
      this.fail("crash loop", `${task}, ${history.calmStarts} starts in calm`);
    }
    for (const earlier of job.steps[position.step]?.after ?? []) {
      for (const name of taskNamesOf(job, earlier)) {
        if (!this.#task(name).isDone) this.fail("early", `${task}, ${name}`);
      }
    }
    history.runners.add(runner);
  }

  /** The step of a task's job. */
  stepOf(task: string): SoakJob["steps"][number] | undefined {
    const position = parseTaskName(task);
    if (position === undefined) return undefined;
    return this.jobs.get(position.job)?.steps[position.step];
  }

  /** Whether a run of the task is active. */
  isRunning(task: string): boolean {
    return (this.#histories.get(task)?.runners.size ?? 0) > 0;
  }

  /** Whether a task crashes each runner that starts it. */
  crashes(task: string): boolean {
    const position = parseTaskName(task);
    return position?.step === 0 && position.index === 0 &&
      this.jobs.get(position.job)?.crashesRunners === true;
  }

  /** A runner has crashed with these runs. */
  onRunnerCrashed(runner: string, tasks: Iterable<string>): void {
    for (const task of tasks) {
      this.#task(task).crashes += 1;
      this.onRunEnded(runner, task, "lapsed");
    }
  }

  /** A run has ended. */
  onRunEnded(runner: string, task: string, outcome: RunOutcome): void {
    const history = this.#task(task);
    history.runners.delete(runner);
    if (outcome === "done") history.isDone = true;
  }

  /** The keeper has acknowledged the end of a run: it is no longer listed. */
  onEndAcknowledged(task: string, outcome: RunOutcome): void {
    if (outcome === "done") this.#task(task).isAcked = true;
  }

  /** A caller has received the state of a job. */
  onJobState(id: string, state: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    job.state = state;
    if (state === "completed" && !this.#isDone(job)) {
      this.fail("premature completion", `${id} has tasks that are not done`);
    }
    if (state === "failed" && !this.#isCrashed(job)) {
      this.fail("lost job", `${id} has failed`);
    }
    if (state === "canceled" && !job.isCancelled) {
      this.fail("lost job", `${id} is cancelled without a request`);
    }
  }

  /** Checks that accepted jobs have ended and that refused jobs never ran. */
  checkFinalStates(): void {
    for (const job of this.jobs.values()) {
      if (job.isAccepted && !isFinished(job)) {
        this.fail("lost job", `${job.id} is ${job.state} at the end`);
      }
      if (job.hasRun && job.isRefused) {
        this.fail(
          "refused job",
          `${job.id} ran though each attempt was refused`,
        );
      }
    }
  }

  /** Whether two runners have crashed under one of the job's tasks. */
  #isCrashed(job: SoakJob): boolean {
    return job.steps.some((_, step) =>
      taskNamesOf(job, step).some((name) => this.#task(name).crashes >= 2)
    );
  }

  #isDone(job: SoakJob): boolean {
    return job.steps.every((_, step) =>
      taskNamesOf(job, step).every((name) => this.#task(name).isDone)
    );
  }

  #task(task: string): TaskHistory {
    const known = this.#histories.get(task);
    if (known !== undefined) return known;
    const history = {
      runners: new Set<string>(),
      isDone: false,
      isAcked: false,
      crashes: 0,
      calmStarts: 0,
    };
    this.#histories.set(task, history);
    return history;
  }
}

function isFinished(
  { state, isCancelled, crashesRunners }: SoakJob,
): boolean {
  return state === "completed" || (isCancelled && state === "canceled") ||
    (crashesRunners && state === "failed");
}
