import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Removes a worker that holds no tasks. */
export const applyWorkerGone: RecordHandler<"worker_gone"> = (
  ledger,
  record,
) => {
  const worker = ledger.workers.get(record.worker);
  if (worker === undefined) return voidVerdict("unknown_worker");
  if (worker.tasks.size > 0) return voidVerdict("worker_in_use");
  ledger.workers.delete(record.worker);
  ledger.workersVersion += 1;
  return accepted;
};
