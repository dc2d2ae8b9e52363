import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Ends a moved job in this cell, now that the other cell holds it. */
export const applyArrived: RecordHandler<"arrived"> = (ledger, record) => {
  const row = ledger.jobs.get(record.job);
  if (row?.movedTo === undefined) return voidVerdict("unknown_job");
  if (row.endedAtMs !== undefined) return voidVerdict("duplicate");
  row.unfinished = 0;
  row.endedAtMs = record.atMs;
  return accepted;
};
