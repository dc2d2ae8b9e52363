import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobState } from "../jobs/job_state.ts";
import { taskNameOf } from "../jobs/task_name_of.ts";
import type { Group } from "./group.ts";
import { longestChains } from "./longest_chains.ts";
import type { Occurrence } from "./occurrence.ts";
import type { Task } from "./task.ts";

/** A job and its progress, as its keeper knows them. */
export class Job {
  /** For each step, the expected time from its start to the end of the job. */
  readonly chainsMs: readonly number[];
  /** The occurrences that are due and not finished, by number. */
  readonly open = new Map<number, Occurrence>();
  /** The number of the first occurrence that has not been opened. */
  nextOccurrence = 0;
  /** Whether any run of it was ever started. */
  hasBegun = false;
  /**
   * Since when it has no run though a task of it waits for a worker, by the
   * keeper's monotonic clock.
   */
  idleSinceMs: number | undefined;
  outcome: "completed" | "failed" | "cancelled" | undefined;

  constructor(readonly definition: JobDefinition) {
    this.chainsMs = longestChains(definition.steps);
  }

  /** How many times its steps run in all. */
  get occurrences(): number {
    return this.definition.schedule?.count ?? 1;
  }

  /** Its state, as reported to callers. */
  get state(): JobState {
    return this.outcome ?? (this.hasBegun ? "running" : "queued");
  }

  /** When an occurrence is due, by the wall clock. */
  dueMs(occurrence: number): number {
    const { schedule, receivedMs } = this.definition;
    if (schedule === undefined) return receivedMs;
    return schedule.firstMs + occurrence * schedule.intervalMs;
  }

  /** Opens each occurrence that is due; returns whether there was any. */
  openDue(wallMs: number): boolean {
    const firstNumber = this.nextOccurrence;
    while (
      this.outcome === undefined && this.nextOccurrence < this.occurrences &&
      (this.definition.schedule === undefined ||
        this.dueMs(this.nextOccurrence) <= wallMs)
    ) {
      this.openOccurrence(this.nextOccurrence);
    }
    return this.nextOccurrence !== firstNumber;
  }

  /** Opens an occurrence, whether it is due or not. */
  openOccurrence(number: number): Occurrence {
    const groups: Group[] = [];
    this.definition.steps.forEach((definition, step) => {
      const tasks: Task[] = [];
      const group: Group = {
        job: this,
        occurrence: number,
        step,
        definition,
        tasks,
        open: definition.count,
      };
      for (let index = 0; index < definition.count; index++) {
        tasks.push(this.#createTask(group, index));
      }
      groups.push(group);
    });
    const occurrence = { number, groups };
    this.open.set(number, occurrence);
    this.nextOccurrence = Math.max(this.nextOccurrence, number + 1);
    return occurrence;
  }

  /** Its unfinished groups whose preceding steps are all done. */
  *ready(): Generator<Group> {
    for (const { groups } of this.open.values()) {
      for (const group of groups) {
        const { after } = group.definition;
        const isReady = group.open > 0 &&
          after.every((earlier) => groups[earlier]?.open === 0);
        if (isReady) yield group;
      }
    }
  }

  /** Whether any of its tasks has a claimed run. */
  get isRunning(): boolean {
    for (const { claim } of this.tasks()) if (claim !== undefined) return true;
    return false;
  }

  /** All tasks of its open occurrences. */
  *tasks(): Generator<Task> {
    for (const { groups } of this.open.values()) {
      for (const group of groups) yield* group.tasks;
    }
  }

  /** Returns a task by its position, if its occurrence is open. */
  taskAt(occurrence: number, step: number, index: number): Task | undefined {
    return this.open.get(occurrence)?.groups[step]?.tasks[index];
  }

  /**
   * Closes an occurrence if all its groups are done, and completes the job with
   * the last one; returns whether it was closed.
   */
  closeDone(number: number): boolean {
    const groups = this.open.get(number)?.groups ?? [];
    if (groups.length === 0 || groups.some(({ open: left }) => left > 0)) {
      return false;
    }
    this.open.delete(number);
    const isLast = this.open.size === 0 &&
      this.nextOccurrence >= this.occurrences;
    if (isLast) this.outcome ??= "completed";
    return true;
  }

  #createTask(group: Group, index: number): Task {
    const name = taskNameOf({
      job: this.definition.id,
      occurrence: group.occurrence,
      step: group.step,
      index,
    });
    return {
      name,
      group,
      index,
      run: 0,
      failures: 0,
      checkpoint: "",
      isDone: false,
      claim: undefined,
      avoid: undefined,
    };
  }
}
