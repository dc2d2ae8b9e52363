import { addResources } from "../resources/add_resources.ts";
import { fits } from "../resources/fits.ts";
import { matchesSelector } from "../select/matches_selector.ts";
import { accepted } from "./accepted.ts";
import type { Judge } from "./judge.ts";
import { voidRecord } from "./void_record.ts";

/** Assigns a waiting task to a worker that it selects and that has room. */
export const judgeClaimed: Judge<"claimed"> = (ledger, record) => {
  const task = ledger.tasks.get(record.task);
  if (task === undefined) return voidRecord("unknown_task");
  if (task.state !== "waiting") return voidRecord("not_allowed_now");
  if (record.attempt !== task.attempt + 1) return voidRecord("wrong_attempt");
  const job = ledger.jobs.get(task.job);
  if (job === undefined || job.movedTo !== undefined) {
    return voidRecord("unknown_job");
  }
  const worker = ledger.workers.get(record.worker);
  if (worker === undefined) return voidRecord("unknown_worker");
  if (!matchesSelector(job.job.workers, worker.labels)) {
    return voidRecord("not_selected");
  }
  if (record.atMs >= job.job.endsAtMs) return voidRecord("term_over");
  const used = addResources(worker.used, record.reserved);
  if (!fits(used, worker.capacity)) return voidRecord("over_capacity");
  ledger.step(task, "CLAIM");
  task.attempt = record.attempt;
  task.worker = record.worker;
  task.reserved = record.reserved;
  task.claimedAtMs = record.atMs;
  ledger.occupy(task, worker);
  return accepted;
};
