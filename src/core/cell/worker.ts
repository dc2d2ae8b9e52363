import { addResources } from "../resources/add_resources.ts";
import { noResources } from "../resources/no_resources.ts";
import { subtractResources } from "../resources/subtract_resources.ts";
import type { Resources } from "../../schema/resources.ts";
import type { NodeId } from "../jobs/node_id.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { TaskName } from "../jobs/task_name.ts";
import { roomOf } from "./room_of.ts";
import type { Task } from "./task.ts";
import type { WorkerReport } from "./worker_report.ts";

/** A worker as its keeper sees it. */
export class Worker {
  report: WorkerReport | undefined;
  /** Its sidecar is connected and its claims were compared with its runs. */
  isAdopted = false;
  readonly claims = new Map<TaskName, Task>();
  /** Room held by runs that no claim explains. */
  readonly strays = new Map<string, Resources>();
  /** When each stray was last told to stop. */
  readonly strayStops = new Map<string, number>();
  readonly statuses = new Map<TaskName, RunStatus>();
  /** Up to where its ends have been taken in. */
  lastEnd = 0;
  /** Until when it is set aside, by the keeper's steady clock. */
  asideUntilMs = 0;
  /** Runs that failed in a row. */
  failuresInRow = 0;
  /** How many times in a row it has been set aside. */
  timesAside = 0;
  /** How much longer than expected its runs take, smoothed. */
  slowness = 1;
  /** How ill filler images in general fit beside its services, 0 to 1. */
  closedness = 0;
  /** When its services' figures were last taken in. */
  observedAtMs = -Infinity;
  /** When a filler was last stopped here for a service's sake. */
  relievedAtMs = -Infinity;
  #used: Resources = noResources;

  constructor(readonly node: NodeId) {}

  /** Its processors in thousandths; never 0, so that parts of it can be told. */
  get capacityMilli(): number {
    return Math.max(1, this.report?.capacity.cpuMilli ?? 1);
  }

  /** Room that is taken. */
  get used(): Resources {
    let used = this.#used;
    for (const stray of this.strays.values()) used = addResources(used, stray);
    return used;
  }

  /** Room that is free. */
  get free(): Resources {
    return subtractResources(this.report?.capacity ?? noResources, this.used);
  }

  /** The task of the name, if that run of it is claimed here. */
  claimed(name: TaskName, run: number): Task | undefined {
    const task = this.claims.get(name);
    return task?.run === run ? task : undefined;
  }

  /** Takes a task's room. */
  add(task: Task): void {
    if (this.claims.has(task.name)) return;
    this.claims.set(task.name, task);
    this.#used = addResources(this.#used, roomOf(task.group.definition));
  }

  /** Gives a task's room back. */
  remove(task: Task): void {
    if (!this.claims.delete(task.name)) return;
    this.statuses.delete(task.name);
    this.#used = subtractResources(this.#used, roomOf(task.group.definition));
  }
}
