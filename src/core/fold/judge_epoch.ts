import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** The first candidate to name the next epoch is the keeper of it. */
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
