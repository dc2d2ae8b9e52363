import type { CellRecord } from "../core/fold/cell_record.ts";
import { explainWaiting } from "../core/repair/explain_waiting.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CellId } from "../schema/cell_id.ts";
import { readCellLedger } from "../keeper/read_cell_ledger.ts";
import type { AppliedRecord } from "../keeper/applied_record.ts";
import { withLog } from "./with_log.ts";
import { print } from "./print.ts";

/**
 * `gypsumpond explain`: prints the decisions about a job, task, worker or
 * member, and why its waiting tasks wait.
 */
export async function explainCommand(
  subject: string,
  cell: string,
  logAddress: string,
): Promise<void> {
  const memberOfJob = new Map<string, string>();
  const lines: string[] = [];
  const ledger = await withLog(
    logAddress,
    (log) =>
      readCellLedger(log, cell as CellId, (judged) => {
        const { record } = judged;
        if (record.kind === "submitted") {
          memberOfJob.set(record.job.id, record.job.member);
        }
        if (isAbout(record, subject, memberOfJob)) lines.push(lineOf(judged));
      }),
  );
  for (const line of lines) print(line);
  const reasons = [...explainWaiting(ledger, subject)];
  for (const reason of reasons) print(reason);
  if (lines.length + reasons.length === 0) {
    throw new GpError("not_found", `cell ${cell} has no record of ${subject}`);
  }
}

function isAbout(
  record: CellRecord,
  subject: string,
  memberOfJob: ReadonlyMap<string, string>,
): boolean {
  const job = jobOf(record);
  if (
    job !== undefined && (job === subject || memberOfJob.get(job) === subject)
  ) {
    return true;
  }
  if ("task" in record && record.task === subject) return true;
  if ("worker" in record && record.worker === subject) return true;
  return record.by === subject;
}

function jobOf(record: CellRecord): string | undefined {
  if ("task" in record) {
    return record.task.slice(0, record.task.lastIndexOf("/"));
  }
  if (record.kind === "submitted") return record.job.id;
  return "job" in record ? record.job : undefined;
}

function lineOf({ offset, record, verdict }: AppliedRecord): string {
  const at = new Date(record.atMs).toISOString();
  const fields: Record<string, unknown> = { ...record };
  for (const key of ["kind", "atMs", "image", "job"]) delete fields[key];
  const job = jobOf(record);
  if (job !== undefined) fields.job = job;
  const pairs = Object.entries(fields).map(([key, value]) =>
    `${key}=${typeof value === "object" ? JSON.stringify(value) : value}`
  );
  const outcome = verdict.accepted ? "accepted" : `void=${verdict.reason}`;
  return `offset=${offset} at=${at} ${record.kind} ${outcome} ${
    pairs.join(" ")
  }`;
}
