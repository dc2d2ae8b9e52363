import type { TaskId } from "../../schema/task_id.ts";
import type { CellLedger } from "./cell_ledger.ts";
import type { TaskRow } from "./task_row.ts";
import type { Verdict } from "./verdict.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Finds the running attempt that a record names, or says why there is none. */
export function findAttempt(
  ledger: CellLedger,
  id: TaskId,
  attempt: number,
): TaskRow | Verdict {
  const task = ledger.tasks.get(id);
  if (task === undefined) return voidVerdict("unknown_task");
  if (task.attempt !== attempt) return voidVerdict("wrong_attempt");
  if (task.worker === undefined) return voidVerdict("not_allowed_now");
  return task;
}
