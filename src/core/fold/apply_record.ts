import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import { isKeepers } from "./is_keepers.ts";
import type { Judge } from "./judge.ts";
import { judges } from "./judges.ts";
import type { Verdict } from "./verdict.ts";
import { voidRecord } from "./void_record.ts";

/**
 * Applies the record at the ledger's next offset. Deterministic: all readers of
 * the same records compute the same ledger and verdicts.
 */
export function applyRecord(ledger: CellLedger, record: CellRecord): Verdict {
  const verdict = dispatch(ledger, record);
  ledger.next += 1;
  return verdict;
}

function dispatch(ledger: CellLedger, record: CellRecord): Verdict {
  if ("epoch" in record && !isKeepers(ledger, record)) {
    return voidRecord("stale_epoch");
  }
  const handler = judges[record.kind] as
    | Judge<CellRecord["kind"]>
    | undefined;
  return handler?.(ledger, record) ?? voidRecord("not_allowed_now");
}
