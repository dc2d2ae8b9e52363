import type { Cell } from "./cell.ts";
import { countAllowedBegins } from "./count_allowed_begins.ts";
import { explainClaim } from "./explain_claim.ts";
import { explainPlacement } from "./explain_placement.ts";
import type { FillerView } from "./filler_view.ts";
import { isCellSettling } from "./is_cell_settling.ts";
import type { Task } from "./task.ts";
import type { WaitingExplanation } from "./waiting_explanation.ts";
import type { WaitingReason } from "./waiting_reason.ts";

type Inputs = WaitingExplanation["inputs"];

/**
 * Why a task of a ready group does not run at the view's time; undefined if it
 * runs or is done. It checks what placement checks, in the same order, and
 * changes nothing. The cost grows with the workers and the tasks of the job.
 */
export function explainWaitingTask(
  cell: Cell,
  task: Task,
  view: FillerView,
): WaitingExplanation | undefined {
  const { nowMs } = view;
  const { group, claim } = task;
  const { job, definition } = group;
  if (task.isDone || claim?.phase === "running") return undefined;
  if (claim !== undefined) {
    return explainClaim(claim, cell.workers.get(claim.node), nowMs);
  }
  if (job.outcome !== undefined) {
    return withoutClaim("job_ended", { outcome: job.outcome });
  }
  const { queue: name } = job.definition;
  if (!cell.isConfigured) return withoutClaim("not_configured", {});
  const queue = cell.queues.get(name);
  if (queue === undefined) {
    return withoutClaim("queue_unknown", { queue: name });
  }
  if (definition.isFiller && isCellSettling(cell, nowMs)) {
    const sinceMs = Math.round(nowMs - cell.beganAtMs);
    return withoutClaim("settling", { since_ms: sinceMs });
  }
  if (definition.isGang && group.claimCount > 0) {
    return withoutClaim("gang_incomplete", { claims: group.claimCount });
  }
  const advice = queue.advice && cell.advice.describe(group, nowMs);
  const { maxRowBytes } = cell.options;
  const neededBegins = definition.isGang && job.hasClaims
    ? group.tasks.filter(({ run }) => run === 0).length
    : Number(task.run === 0 && !definition.isGang);
  const allowedBegins = neededBegins > 0
    ? countAllowedBegins(job, maxRowBytes)
    : Infinity;
  if (allowedBegins < neededBegins) {
    const inputs = { needed: neededBegins, allowed: allowedBegins };
    return withoutClaim("begins_spent", inputs);
  }
  if (cell.statistics.attempts?.mayStart(group) === false) {
    return withoutClaim("attempts_limit", { claims: group.claimCount });
  }
  if (advice !== undefined && advice.tickets.size === 0) {
    return withoutClaim(advice.reason, {
      queries: advice.queryCount,
      pause_left_ms: Math.round(advice.pauseLeftMs),
    });
  }
  const found = explainPlacement(cell, task, queue, view, advice?.tickets);
  const inputs = { ...found.inputs, advice: advice?.reason };
  return { ...found, inputs };
}

function withoutClaim(
  reason: WaitingReason,
  inputs: Inputs,
): WaitingExplanation {
  return { reason, worker: undefined, inputs };
}
