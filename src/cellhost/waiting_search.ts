import type { Task } from "../core/cell/task.ts";
import type { TaskGroup } from "../core/cell/task_group.ts";

/** Of a large group, so many tasks at a time are looked at. */
const maxVisits = 1_000;
const maxFound = 6;

/** Finds some waiting tasks of a group, going on where it last stopped. */
export class WaitingSearch {
  readonly #positions = new WeakMap<TaskGroup, number>();

  /** Some tasks that have no claim and are not done; none if it has to go on. */
  find(group: TaskGroup): Task[] {
    const { tasks } = group;
    const found: Task[] = [];
    const from = this.#positions.get(group) ?? 0;
    let next = from;
    const most = Math.min(maxVisits, tasks.length);
    for (let count = 0; count < most && found.length < maxFound; count++) {
      const task = tasks[(from + count) % tasks.length]!;
      if (!task.isDone && task.claim === undefined) found.push(task);
      if (found.length === 0) next = from + count + 1;
    }
    this.#positions.set(group, next % tasks.length);
    return found;
  }
}
