import type { ReleaseReason } from "./release_reason.ts";

const evictions: ReadonlySet<ReleaseReason> = new Set([
  "urgent_work",
  "interference",
  "worker_overfull",
  "worker_leaving",
]);

/** Whether the keeper or the worker chose to stop a running task early. */
export function isEviction(reason: ReleaseReason): boolean {
  return evictions.has(reason);
}
