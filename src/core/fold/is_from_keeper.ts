import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";

/** Whether the record was written by the keeper of the current epoch. */
export function isFromKeeper(
  ledger: CellLedger,
  record: CellRecord & { readonly epoch: number },
): boolean {
  return ledger.epoch?.number === record.epoch &&
    ledger.epoch.keeper === record.by;
}
