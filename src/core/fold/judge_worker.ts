import { fits } from "../resources/fits.ts";
import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/**
 * Adds a worker, or updates it if its new capacity covers its reservations. A
 * restarted worker must hold no tasks.
 */
export const judgeWorker: Judge<"worker"> = (ledger, record) => {
  const known = ledger.workers.get(record.worker);
  if (known !== undefined && !fits(known.used, record.capacity)) {
    return voidRecord("over_capacity");
  }
  const isRestarted = known !== undefined && known.bootId !== record.bootId;
  if (isRestarted && known.tasks.size > 0) return voidRecord("worker_in_use");
  ledger.putWorker({
    id: record.worker,
    bootId: record.bootId,
    capacity: record.capacity,
    labels: record.labels,
    failStreak: 0,
    lastFailureAtMs: 0,
  });
  return accepted;
};
