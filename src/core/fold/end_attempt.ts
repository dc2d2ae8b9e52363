import type { CellLedger } from "./cell_ledger.ts";
import { taskChart } from "./task_chart.ts";
import type { TaskEvent } from "./task_event.ts";
import type { TaskRow } from "./task_row.ts";

/** Applies an event that ends a running attempt, and frees its worker. */
export function endAttempt(
  ledger: CellLedger,
  task: TaskRow,
  event: TaskEvent,
  atMs: number,
): void {
  ledger.transition(task, event);
  ledger.unassign(task, atMs);
  if (taskChart.isFinal(task.state)) ledger.recordTaskEnd(task, atMs);
}
