import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** Ends a moved job in this cell, now that the other cell holds it. */
export const judgeArrived: Judge<"arrived"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row?.movedTo === undefined) return voidRecord("unknown_job");
  if (row.endedAtMs !== undefined) return voidRecord("duplicate");
  row.unfinished = 0;
  row.endedAtMs = record.atMs;
  return accepted;
};
