import type { JobDefinition } from "../jobs/job_definition.ts";
import type { JobId } from "../jobs/job_id.ts";
import { parseTaskName } from "../jobs/parse_task_name.ts";
import type { RunEnd } from "../jobs/run_end.ts";
import type { StepDefinition } from "../jobs/step_definition.ts";
import type { TaskName } from "../jobs/task_name.ts";

/**
 * The jobs whose rows cannot be read, such as those that a later build wrote.
 * Their runs go on and their ends are kept for a keeper that can read them.
 */
export class UnreadableJobs {
  readonly #definitions = new Map<JobId, JobDefinition>();

  add(definition: JobDefinition): void {
    this.#definitions.set(definition.id, definition);
  }

  /** The step of a task of such a job; undefined if it belongs to another. */
  stepOf(name: TaskName): StepDefinition | undefined {
    const position = parseTaskName(name);
    if (position === undefined) return undefined;
    return this.#definitions.get(position.job)?.steps[position.step];
  }

  /** The number of the last end, up to `lastEnd`, that may be forgotten. */
  lastForgettable(ends: readonly RunEnd[], lastEnd: number): number {
    const kept = ends.find(({ task }) => this.stepOf(task) !== undefined);
    return kept === undefined ? lastEnd : Math.min(lastEnd, kept.number - 1);
  }
}
