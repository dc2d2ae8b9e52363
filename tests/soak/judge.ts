import { parseTaskName } from "../../src/core/jobs/parse_task_name.ts";
import { taskNameOf } from "../../src/core/jobs/task_name_of.ts";
import type { RunOutcome } from "../../src/core/jobs/run_outcome.ts";
import type { SoakJob } from "./soak_job.ts";

interface TaskLife {
  /** The runners where a run of it is at work. */
  readonly at: Set<string>;
  isDone: boolean;
  /** Its end `done` was taken note of. */
  isNoted: boolean;
}

/** Holds what callers and runners see against what the pages promise. */
export class Judge {
  readonly broken: string[] = [];
  readonly jobs = new Map<string, SoakJob>();
  readonly #tasks = new Map<string, TaskLife>();

  break(promise: string, detail: string): void {
    this.broken.push(`${promise}: ${detail}`);
  }

  /** A runner begins a run. */
  begun(runner: string, task: string, payload: string): void {
    const place = parseTaskName(task);
    const job = this.jobs.get(place?.job ?? "");
    if (
      place === undefined || job === undefined || job.payload !== payload
    ) {
      this.break("unasked", `${task} on ${runner}`);
      return;
    }
    job.hasRun = true;
    const life = this.#of(task);
    if (life.at.size > 0) {
      this.break("twice", `${task} on ${runner} and ${[...life.at]}`);
    }
    if (life.isNoted) this.break("twice", `${task} again after its end`);
    for (const earlier of job.steps[place.step]?.after ?? []) {
      for (const name of tasksOf(job, earlier)) {
        if (!this.#of(name).isDone) this.break("order", `${task}, ${name}`);
      }
    }
    life.at.add(runner);
  }

  /** A run is over. */
  over(runner: string, task: string, outcome: RunOutcome): void {
    const life = this.#of(task);
    life.at.delete(runner);
    if (outcome === "done") life.isDone = true;
  }

  /** The end of a run need not be listed any more. */
  noted(task: string, outcome: RunOutcome): void {
    if (outcome === "done") this.#of(task).isNoted = true;
  }

  /** A caller was told how a job stands. */
  told(id: string, state: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) return;
    job.state = state;
    if (state === "completed" && !this.#isDone(job)) {
      this.break("mixed", `${id} is completed but has tasks that are not done`);
    }
    if (state === "failed") this.break("lost", `${id} is failed without cause`);
    if (state === "canceled" && !job.isCancelled) {
      this.break("lost", `${id} is cancelled though nobody asked`);
    }
  }

  /** At the end: all that was accepted has ended, what was refused never ran. */
  close(): void {
    for (const job of this.jobs.values()) {
      if (job.isAccepted && !isOver(job)) {
        this.break("lost", `${job.id} is ${job.state} at the end`);
      }
      if (job.hasRun && job.isRefused) {
        this.break("refused", `${job.id} ran though each attempt was refused`);
      }
    }
  }

  #isDone(job: SoakJob): boolean {
    return job.steps.every((_, step) =>
      tasksOf(job, step).every((name) => this.#of(name).isDone)
    );
  }

  #of(task: string): TaskLife {
    const known = this.#tasks.get(task);
    if (known !== undefined) return known;
    const life = { at: new Set<string>(), isDone: false, isNoted: false };
    this.#tasks.set(task, life);
    return life;
  }
}

function isOver({ state, isCancelled }: SoakJob): boolean {
  return state === "completed" || (isCancelled && state === "canceled");
}

/** The names of a step's tasks; a job here has no more than one occurrence. */
function tasksOf({ id, steps }: SoakJob, step: number): string[] {
  return Array.from(
    { length: steps[step]?.count ?? 0 },
    (_, index) => taskNameOf({ job: id, occurrence: 0, step, index }),
  );
}
