import type { Job } from "../cell/job.ts";
import type { TaskGroup } from "../cell/task_group.ts";

/** A job's worth is this, plus the rest times its work against the mean. */
const fixedWorth = 0.3;

interface Kind {
  count: number;
  milliMs: number;
}

/** What work earns for its caller, against the mean job of its queue. */
export class CallerWorth {
  readonly #kinds = new Map<string, Kind>();
  readonly #known = new WeakSet<Job>();

  /** Counts a job for the mean of its queue, once. */
  note(job: Job): void {
    if (this.#known.has(job)) return;
    this.#known.add(job);
    const { queue, steps } = job.definition;
    const kind = this.#kinds.get(queue) ?? { count: 0, milliMs: 0 };
    this.#kinds.set(queue, kind);
    kind.count += 1;
    for (const { count, resources, expectedMs } of steps) {
      kind.milliMs += count * resources.cpuMilli * expectedMs;
    }
  }

  /** The CPU time that a group's job still needs, per worth that it earns. */
  workPerWorth({ job, occurrence }: TaskGroup): number {
    let allMilliMs = 0;
    let leftMilliMs = 0;
    for (const group of job.openOccurrences.get(occurrence)?.groups ?? []) {
      const { count, resources, expectedMs } = group.definition;
      const taskMilliMs = resources.cpuMilli * expectedMs;
      allMilliMs += count * taskMilliMs;
      leftMilliMs += group.unfinishedCount * taskMilliMs;
    }
    const kind = this.#kinds.get(job.definition.queue);
    const meanMilliMs = kind === undefined ? 0 : kind.milliMs / kind.count;
    const size = meanMilliMs > 0 ? allMilliMs / meanMilliMs : 1;
    return leftMilliMs / (fixedWorth + (1 - fixedWorth) * size);
  }
}
