import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Starts the next epoch; the first candidate to append it is its keeper. */
export const applyEpoch: RecordHandler<"epoch"> = (ledger, record) => {
  const current = ledger.epoch;
  if (record.number !== (current?.number ?? 0) + 1) {
    return voidVerdict("stale_epoch");
  }
  const eligible = current?.candidates ?? record.candidates;
  if (!eligible.includes(record.by)) return voidVerdict("not_candidate");
  ledger.epoch = {
    number: record.number,
    keeper: record.by,
    incarnation: record.incarnation,
    candidates: record.candidates,
  };
  return accepted;
};
