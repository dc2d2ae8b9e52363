import type { Cell } from "../core/cell/cell.ts";
import type { Task } from "../core/cell/task.ts";
import type { TaskGroup } from "../core/cell/task_group.ts";

/**
 * Walks over what may wait in a cell, a bounded number of items at a time; what
 * changes meanwhile is seen in this round or in the next.
 */
export class WaitingWalk {
  readonly #services = new Round(servicesOf);
  readonly #claims = new Round(claimsOf);
  readonly #groups = new Round(groupsOf);

  /** The next tasks of services whose turn has come. */
  services(cell: Cell, most: number): Iterable<Task> {
    return this.#services.next(cell, most);
  }

  /** The next claimed tasks of other jobs. */
  claims(cell: Cell, most: number): Iterable<Task> {
    return this.#claims.next(cell, most);
  }

  /** The next groups of other jobs whose turn has come. */
  groups(cell: Cell, most: number): Iterable<TaskGroup> {
    return this.#groups.next(cell, most);
  }
}

/** Repeats a walk, and goes on where it was interrupted. */
class Round<T> {
  #walk: Iterator<T> | undefined;

  constructor(readonly begin: (cell: Cell) => Iterator<T>) {}

  *next(cell: Cell, most: number): Generator<T, void> {
    this.#walk ??= this.begin(cell);
    for (let count = 0; count < most; count++) {
      const { done, value } = this.#walk.next();
      if (done) {
        this.#walk = undefined;
        return;
      }
      yield value;
    }
  }
}

function* servicesOf({ liveJobs }: Cell): Generator<Task, void> {
  for (const job of liveJobs) {
    for (const group of job.readyGroups()) {
      if (group.definition.isService) yield* group.tasks;
    }
  }
}

function* claimsOf({ workers }: Cell): Generator<Task, void> {
  for (const { claims } of workers.values()) {
    for (const task of claims.values()) {
      if (!task.group.definition.isService) yield task;
    }
  }
}

function* groupsOf({ liveJobs }: Cell): Generator<TaskGroup, void> {
  for (const job of liveJobs) {
    for (const group of job.readyGroups()) {
      if (!group.definition.isService) yield group;
    }
  }
}
