import { CellLedger } from "./cell_ledger.ts";
import type { CellImage } from "./cell_image.ts";

/** Rebuilds the ledger from the parts of a snapshot up to offset `covers`. */
export function restoreLedger(
  parts: readonly CellImage[],
  covers: number,
): CellLedger {
  const ledger = new CellLedger();
  ledger.nextOffset = covers;
  ledger.epoch = parts[0]?.epoch;
  for (const part of parts) {
    for (const row of part.workers) ledger.upsertWorker({ ...row });
    for (const row of part.jobs) ledger.jobs.set(row.job.id, { ...row });
    for (const row of part.tasks) ledger.tasks.set(row.id, { ...row });
    for (const row of part.accounts) {
      const key = `${row.member} ${row.pool} ${row.term}`;
      ledger.accounts.set(key, { ...row });
    }
  }
  for (const task of ledger.tasks.values()) {
    const worker = task.worker && ledger.workers.get(task.worker);
    if (worker) ledger.assign(task, worker);
    if (task.state === "waiting") ledger.enqueue(task);
  }
  return ledger;
}
