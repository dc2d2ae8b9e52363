import type { ReleaseReason } from "./release_reason.ts";

const evictions: ReadonlySet<ReleaseReason> = new Set([
  "urgent_work",
  "interference",
  "worker_overfull",
  "worker_leaving",
]);

/** Whether the release took a running task off its worker by choice. */
export function isEviction(reason: ReleaseReason): boolean {
  return evictions.has(reason);
}
