import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { matchesSelector } from "../select/matches_selector.ts";
import { accepted } from "./accepted.ts";
import type { RecordHandler } from "./record_handler.ts";
import { voidVerdict } from "./void_verdict.ts";

/** Assigns a waiting task to a worker that it selects and that has room. */
export const applyClaimed: RecordHandler<"claimed"> = (ledger, record) => {
  const task = ledger.tasks.get(record.task);
  if (task === undefined) return voidVerdict("unknown_task");
  if (task.state !== "waiting") return voidVerdict("not_allowed_now");
  if (record.attempt !== task.attempt + 1) return voidVerdict("wrong_attempt");
  const job = ledger.jobs.get(task.job);
  if (job === undefined || job.movedTo !== undefined) {
    return voidVerdict("unknown_job");
  }
  const worker = ledger.workers.get(record.worker);
  if (worker === undefined) return voidVerdict("unknown_worker");
  if (!matchesSelector(job.job.workers, worker.labels)) {
    return voidVerdict("not_selected");
  }
  if (record.atMs >= job.job.endsAtMs) return voidVerdict("term_over");
  const used = addResources(worker.used, record.reserved);
  if (!fits(used, worker.capacity)) return voidVerdict("over_capacity");
  ledger.transition(task, "CLAIM");
  task.attempt = record.attempt;
  task.worker = record.worker;
  task.reserved = record.reserved;
  task.claimedAtMs = record.atMs;
  ledger.assign(task, worker);
  return accepted;
};
