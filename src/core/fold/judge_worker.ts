import { fits } from "../resources/fits.ts";
import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** A worker joins, or declares itself anew above what it already holds. */
export const judgeWorker: Judge<"worker"> = (ledger, record) => {
  const known = ledger.workers.get(record.worker);
  if (known !== undefined && !fits(known.used, record.capacity)) {
    return voidRecord("over_capacity");
  }
  const restarted = known !== undefined && known.bootId !== record.bootId;
  if (restarted && known.tasks.size > 0) return voidRecord("worker_in_use");
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
