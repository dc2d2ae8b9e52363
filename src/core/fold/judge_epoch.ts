import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** Starts the next epoch; the first candidate to append it is its keeper. */
export const judgeEpoch: Judge<"epoch"> = (ledger, record) => {
  const current = ledger.epoch;
  if (record.number !== (current?.number ?? 0) + 1) {
    return voidRecord("stale_epoch");
  }
  const eligible = current?.candidates ?? record.candidates;
  if (!eligible.includes(record.by)) return voidRecord("not_candidate");
  ledger.epoch = {
    number: record.number,
    keeper: record.by,
    incarnation: record.incarnation,
    candidates: record.candidates,
  };
  return accepted;
};
