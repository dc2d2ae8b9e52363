import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobState } from "../jobs/job_state.ts";
import { formatTaskName } from "../jobs/format_task_name.ts";
import type { TaskGroup } from "./task_group.ts";
import { criticalPaths } from "./critical_paths.ts";
import type { Occurrence } from "./occurrence.ts";
import type { Task } from "./task.ts";

/**
 * No further occurrence is opened beside so many tasks. It bounds memory, and
 * the size of the job's row.
 */
const maxOpenTasks = 20_000;

/** A job and its progress, as its keeper knows them. */
export class Job {
  /** For each step, the expected time from its start to the end of the job. */
  readonly criticalPathsMs: readonly number[];
  /** How many tasks an occurrence has. */
  readonly taskCount: number;
  /** The occurrences that are due and not finished, by number. */
  readonly openOccurrences = new Map<number, Occurrence>();
  /** The number of the first occurrence that has not been opened. */
  nextOccurrence = 0;
  /** Whether any task of it was ever placed on a worker. */
  hasStarted = false;
  /** Whether a runner has begun a task of it, as far as is known. */
  hasBegun = false;
  /**
   * Since when it has no run though a task of it waits for a worker, by the
   * keeper's monotonic clock.
   */
  idleSinceMs: number | undefined;
  outcome: "completed" | "failed" | "cancelled" | undefined;
  /** The fields of its row that this build does not know. */
  unknownFields: Readonly<Record<string, unknown>> = {};
  /** How often its claims, ends or open occurrences have changed. */
  changeCount = 0;
  /** How many starts of its tasks are under way. */
  pendingStartCount = 0;
  #waitingGroups: readonly TaskGroup[] = [];
  #hasClaims = false;
  /** The change counts for which these two were found. */
  #waitingAtChange = -1;
  #claimsAtChange = -1;

  constructor(readonly definition: JobDefinition) {
    this.criticalPathsMs = criticalPaths(definition.steps);
    const counts = definition.steps.map(({ count }) => count);
    this.taskCount = counts.reduce((sum, count) => sum + count, 0);
  }

  /** How many tasks its open occurrences have. */
  get openTaskCount(): number {
    return this.openOccurrences.size * this.taskCount;
  }

  /** How many times its steps run in all. */
  get occurrenceCount(): number {
    return this.definition.schedule?.count ?? 1;
  }

  /** Its state, as reported to callers. */
  get state(): JobState {
    return this.outcome ?? (this.hasBegun ? "running" : "queued");
  }

  /** When an occurrence is due, by the wall clock. */
  dueAtMs(occurrence: number): number {
    const { schedule, receivedMs } = this.definition;
    if (schedule === undefined) return receivedMs;
    return schedule.firstMs + occurrence * schedule.intervalMs;
  }

  /**
   * Opens each occurrence that is due, as far as there are not too many tasks
   * open; returns whether there was any.
   */
  openDueOccurrences(wallMs: number): boolean {
    const firstNumber = this.nextOccurrence;
    while (
      this.outcome === undefined &&
      this.nextOccurrence < this.occurrenceCount &&
      this.#hasRoomForOccurrence &&
      (this.definition.schedule === undefined ||
        this.dueAtMs(this.nextOccurrence) <= wallMs)
    ) {
      this.openOccurrence(this.nextOccurrence);
    }
    return this.nextOccurrence !== firstNumber;
  }

  get #hasRoomForOccurrence(): boolean {
    return this.openOccurrences.size === 0 ||
      this.openTaskCount + this.taskCount <= maxOpenTasks;
  }

  /** Opens an occurrence, whether it is due or not. */
  openOccurrence(number: number): Occurrence {
    this.changeCount += 1;
    const groups: TaskGroup[] = [];
    this.definition.steps.forEach((definition, step) => {
      const tasks: Task[] = [];
      const group: TaskGroup = {
        job: this,
        occurrence: number,
        step,
        definition,
        tasks,
        unfinishedCount: definition.count,
        claimCount: 0,
      };
      for (let index = 0; index < definition.count; index++) {
        tasks.push(this.#createTask(group, index));
      }
      groups.push(group);
    });
    const occurrence = { number, groups };
    this.openOccurrences.set(number, occurrence);
    this.nextOccurrence = Math.max(this.nextOccurrence, number + 1);
    return occurrence;
  }

  /** Its unfinished groups whose preceding steps are all done. */
  *readyGroups(): Generator<TaskGroup> {
    for (const { groups } of this.openOccurrences.values()) {
      for (const group of groups) {
        const { after } = group.definition;
        const isReady = group.unfinishedCount > 0 &&
          after.every((earlier) => groups[earlier]?.unfinishedCount === 0);
        if (isReady) yield group;
      }
    }
  }

  /**
   * Its ready groups with a task that waits for a run; of gangs, those whose
   * tasks all wait.
   */
  get waitingGroups(): readonly TaskGroup[] {
    if (this.#waitingAtChange !== this.changeCount) {
      this.#waitingAtChange = this.changeCount;
      this.#waitingGroups = [...this.readyGroups()].filter(isWaiting);
    }
    return this.#waitingGroups;
  }

  /** Whether any task of its open occurrences has a claimed run. */
  get hasClaims(): boolean {
    if (this.#claimsAtChange !== this.changeCount) {
      this.#claimsAtChange = this.changeCount;
      this.#hasClaims = [...this.openOccurrences.values()].some(({ groups }) =>
        groups.some(({ claimCount }) => claimCount > 0)
      );
    }
    return this.#hasClaims;
  }

  /** All tasks of its open occurrences. */
  *tasks(): Generator<Task> {
    for (const { groups } of this.openOccurrences.values()) {
      for (const group of groups) yield* group.tasks;
    }
  }

  /** Returns a task by its position, if its occurrence is open. */
  taskAt(occurrence: number, step: number, index: number): Task | undefined {
    return this.openOccurrences.get(occurrence)?.groups[step]?.tasks[index];
  }

  /**
   * Closes an occurrence if all its groups are done, and completes the job with
   * the last one; returns whether it was closed.
   */
  closeIfDone(number: number): boolean {
    const groups = this.openOccurrences.get(number)?.groups ?? [];
    if (
      groups.length === 0 ||
      groups.some(({ unfinishedCount }) => unfinishedCount > 0)
    ) {
      return false;
    }
    this.openOccurrences.delete(number);
    this.changeCount += 1;
    const isLast = this.openOccurrences.size === 0 &&
      this.nextOccurrence >= this.occurrenceCount;
    if (isLast) this.outcome ??= "completed";
    return true;
  }

  #createTask(group: TaskGroup, index: number): Task {
    const name = formatTaskName({
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
      crashes: 0,
      checkpoint: "",
      isDone: false,
      claim: undefined,
      lastRunEnd: undefined,
      idleSinceMs: undefined,
      avoidedWorker: undefined,
    };
  }
}

function isWaiting({ tasks, definition }: TaskGroup): boolean {
  const waits = ({ isDone, claim }: Task) => !isDone && claim === undefined;
  return definition.isGang ? tasks.every(waits) : tasks.some(waits);
}
