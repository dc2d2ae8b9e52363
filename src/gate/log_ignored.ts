import type { RunId } from "../core/jobs/run_id.ts";
import type { GateContext } from "./gate_context.ts";

/** Logs an order that is not for the runner's known life; keepers repeat them. */
export function logIgnored(
  { lastHeartbeat, log }: GateContext,
  event: "start_ignored" | "stop_ignored",
  { task, run }: RunId,
): void {
  const reason = lastHeartbeat === undefined ? "no_runner" : "other_life";
  log.info(event, { task, run, reason });
}
