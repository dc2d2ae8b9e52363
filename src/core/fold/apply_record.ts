import type { CellLedger } from "./cell_ledger.ts";
import type { CellRecord } from "./cell_record.ts";
import { isFromKeeper } from "./is_from_keeper.ts";
import type { RecordHandler } from "./record_handler.ts";
import { recordHandlers } from "./record_handlers.ts";
import type { Verdict } from "./verdict.ts";
import { voidVerdict } from "./void_verdict.ts";

/**
 * Applies the record at the ledger's next offset. Deterministic: all readers of
 * the same records compute the same ledger and verdicts.
 */
export function applyRecord(ledger: CellLedger, record: CellRecord): Verdict {
  const verdict = dispatch(ledger, record);
  ledger.nextOffset += 1;
  return verdict;
}

function dispatch(ledger: CellLedger, record: CellRecord): Verdict {
  if ("epoch" in record && !isFromKeeper(ledger, record)) {
    return voidVerdict("stale_epoch");
  }
  const handler = recordHandlers[record.kind] as
    | RecordHandler<CellRecord["kind"]>
    | undefined;
  return handler?.(ledger, record) ?? voidVerdict("not_allowed_now");
}
