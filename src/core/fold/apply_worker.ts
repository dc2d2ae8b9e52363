import { fits } from "../resources/fits.ts";
import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { voidVerdict } from "./void_verdict.ts";

/**
 * Adds a worker, or updates it if its new capacity covers its reservations. A
 * restarted worker must hold no tasks.
 */
export const applyWorker: RecordHandler<"worker"> = (ledger, record) => {
  const known = ledger.workers.get(record.worker);
  if (known !== undefined && !fits(known.used, record.capacity)) {
    return voidVerdict("over_capacity");
  }
  const isRestarted = known !== undefined && known.bootId !== record.bootId;
  if (isRestarted && known.tasks.size > 0) return voidVerdict("worker_in_use");
  ledger.upsertWorker({
    id: record.worker,
    bootId: record.bootId,
    capacity: record.capacity,
    labels: record.labels,
    failStreak: 0,
    lastFailureAtMs: 0,
  });
  return accepted;
};
