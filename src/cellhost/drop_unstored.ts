import type { Cell } from "../core/cell/cell.ts";
import { setJobAside } from "../core/cell/set_job_aside.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import { parseTaskName } from "../core/jobs/parse_task_name.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import { jobOfProgressKey } from "./job_of_progress_key.ts";

/**
 * Leaves out the effects that rely on rows that the store has rejected: starts,
 * states, and the forgetting of ends. The jobs of these rows are set aside.
 */
export function dropUnstored(
  effects: readonly DeferredEffect[],
  rejectedKeys: ReadonlySet<string>,
  cell: Cell,
): readonly DeferredEffect[] {
  const unstored = new Set<JobId>();
  for (const key of rejectedKeys) {
    const job = jobOfProgressKey(key);
    if (job === undefined) continue;
    unstored.add(job);
    setJobAside(cell, job);
  }
  if (unstored.size === 0) return effects;
  return effects.filter((effect) => {
    switch (effect.kind) {
      case "start": {
        const position = parseTaskName(effect.command.task);
        return position !== undefined && !unstored.has(position.job);
      }
      case "show":
        return !unstored.has(effect.job);
      case "forget":
        // It names a number only, and the ends up to it may be of these jobs.
        return false;
    }
  });
}
