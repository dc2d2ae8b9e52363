import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** Removes a worker that holds no tasks. */
export const judgeWorkerGone: Judge<"worker_gone"> = (ledger, record) => {
  const worker = ledger.workers.get(record.worker);
  if (worker === undefined) return voidRecord("unknown_worker");
  if (worker.tasks.size > 0) return voidRecord("worker_in_use");
  ledger.workers.delete(record.worker);
  ledger.workersVersion += 1;
  return accepted;
};
