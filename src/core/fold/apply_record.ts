import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import { isKeepers } from "./is_keepers.ts";
import type { Judge } from "./judge.ts";
import { judges } from "./judges.ts";
import type { Verdict } from "./verdict.ts";
import { voidRecord } from "./void_record.ts";

/**
 * Folds the record at the ledger's next offset into it. Deterministic: every
 * reader of the same records reaches the same ledger and verdicts.
 */
export function applyRecord(ledger: CellLedger, record: CellRecord): Verdict {
  const verdict = judge(ledger, record);
  ledger.next += 1;
  return verdict;
}

function judge(ledger: CellLedger, record: CellRecord): Verdict {
  if ("epoch" in record && !isKeepers(ledger, record)) {
    return voidRecord("stale_epoch");
  }
  const judgeKind = judges[record.kind] as
    | Judge<CellRecord["kind"]>
    | undefined;
  return judgeKind?.(ledger, record) ?? voidRecord("not_allowed_now");
}
