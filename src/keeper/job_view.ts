import type { JobId } from "../schema/job_id.ts";
import type { CellLedger } from "../core/fold/cell_ledger.ts";
import { tasksOf } from "../core/fold/tasks_of.ts";
import type { TaskRow } from "../core/fold/task_row.ts";
import type { LedgerJobState } from "./ledger_job_state.ts";
import type { JobStatus } from "./job_status.ts";

/** Builds the status of a job from its ledger rows. */
export function jobView(ledger: CellLedger, id: string): JobStatus | undefined {
  const row = ledger.jobs.get(id as JobId);
  if (row === undefined) return undefined;
  const tasks = [...tasksOf(ledger, row)];
  return {
    id,
    state: stateOf(row.cancelled, tasks),
    member: row.job.member,
    template: row.job.template,
    submittedAtMs: row.submittedAtMs,
    ...(row.endedAtMs === undefined ? {} : { endedAtMs: row.endedAtMs }),
    ...(row.movedTo === undefined ? {} : { movedTo: row.movedTo }),
    tasks: tasks.map((task) => ({
      id: task.id,
      state: task.state,
      attempt: task.attempt,
      evictions: task.evictions,
      ...(task.worker === undefined ? {} : { worker: task.worker }),
      ...(task.result === undefined ? {} : { result: task.result }),
      ...(task.detail === undefined ? {} : { detail: task.detail }),
    })),
  };
}

function stateOf(
  cancelled: boolean,
  tasks: readonly TaskRow[],
): LedgerJobState {
  const areAll = (state: string): boolean =>
    tasks.every((task) => task.state === state);
  if (areAll("finished")) return "finished";
  if (cancelled) return "cancelled";
  if (tasks.some(({ state }) => state === "failed")) return "failed";
  return tasks.some(({ state }) => state === "claimed") ? "running" : "waiting";
}
