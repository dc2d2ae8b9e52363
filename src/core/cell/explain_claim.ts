import type { Claim } from "./claim.ts";
import type { WaitingExplanation } from "./waiting_explanation.ts";
import type { WaitingReason } from "./waiting_reason.ts";
import type { Worker } from "./worker.ts";

/** Why the run of a claim does not run yet, or its stop has no effect yet. */
export function explainClaim(
  claim: Claim,
  worker: Worker | undefined,
  nowMs: number,
): WaitingExplanation {
  const report = worker?.report;
  return {
    reason: reasonOf(claim, worker),
    worker: claim.node,
    inputs: {
      phase: claim.phase,
      // A command that is sent again counts from then.
      phase_age_ms: Math.round(nowMs - claim.phaseSinceMs),
      has_begun: claim.hasBegun,
      life: claim.life,
      report_age_ms: report && Math.round(nowMs - worker!.reportedAtMs),
      reported_life: report?.life === claim.life ? undefined : report?.life,
      ended_life: worker?.endedLife,
      is_connected: worker?.isReconciled ?? false,
      is_up: report?.isUp,
      is_draining: report?.isDraining,
      is_lapsed: report?.isLapsed,
      is_evacuated: worker?.isEvacuated,
    },
  };
}

function reasonOf(
  { phase, isOrdered }: Claim,
  worker: Worker | undefined,
): WaitingReason {
  if (phase === "starting" && !isOrdered) return "claim_unstored";
  const report = worker?.report;
  if (worker === undefined || report === undefined) return "worker_unreported";
  if (!report.isUp) return report.isDraining ? "worker_left" : "runner_down";
  if (!worker.isReconciled) return "sidecar_unconnected";
  if (worker.isEvacuated) return "worker_evacuated";
  if (report.isDraining) return "worker_draining";
  return phase === "stopping" ? "stop_unconfirmed" : "start_unconfirmed";
}
