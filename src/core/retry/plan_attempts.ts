import type { PeerId } from "../../schema/peer_id.ts";
import { GpError } from "../errors/gp_error.ts";
import type { PeerInfo } from "../members/peer_info.ts";
import type { Router } from "../route/router.ts";
import type { CallAttempt } from "./call_attempt.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { ServiceCall } from "./service_call.ts";
import type { RetryBudget } from "./retry_budget.ts";

const maxAttempts = 3;

type AttemptPlan = Generator<CallAttempt, CallOutcome, CallOutcome>;

/**
 * Plans the attempts of one call. Yields an attempt, receives its outcome, and
 * returns the outcome for the caller. A call is retried within its deadline and
 * the budget, and only if it did not run or may safely run again.
 */
export function* planAttempts(
  request: ServiceCall,
  router: Router,
  budget: RetryBudget,
  clock: () => number,
  onRetry: (reason: string) => void,
): AttemptPlan {
  const outcomes: CallOutcome[] = [];
  const attempts = attemptLoop(request, router, budget, clock, onRetry);
  let step = attempts.next();
  while (!step.done) {
    const outcome = yield step.value;
    outcomes.push(outcome);
    step = attempts.next(outcome);
  }
  return correctOutcome(request, step.value, outcomes);
}

function* attemptLoop(
  request: ServiceCall,
  router: Router,
  budget: RetryBudget,
  clock: () => number,
  onRetry: (reason: string) => void,
): AttemptPlan {
  const tried = new Set<PeerId>();
  let last: CallOutcome | undefined;
  budget.deposit();
  for (let number = 1; number <= maxAttempts; number++) {
    const nowMs = clock();
    const timeoutMs = Math.floor(request.deadlineAtMs - nowMs);
    if (timeoutMs <= 0) return last ?? failure("deadline_too_short");
    const peer = choosePeer(request, router, tried, nowMs);
    if (peer === undefined) return last ?? noPeerOutcome(request);
    router.recordSent(peer.id, nowMs);
    const outcome = yield { number, peer, timeoutMs };
    recordOutcome(router, peer.id, outcome, clock());
    if (outcome.ok || !mayRetry(request, outcome.error)) return outcome;
    last = outcome;
    tried.add(peer.id);
    if (number === maxAttempts || !budget.tryWithdraw()) return outcome;
    onRetry(outcome.error.kind);
  }
  return last ?? failure("no_runner");
}

/** Reports "not run" only if no attempt and no earlier call can have run. */
function correctOutcome(
  request: ServiceCall,
  last: CallOutcome,
  outcomes: readonly CallOutcome[],
): CallOutcome {
  if (last.ok || last.error.descriptor.ran !== "no") return last;
  const mayHaveRun = outcomes.some((outcome) =>
    !outcome.ok && outcome.error.descriptor.ran !== "no"
  );
  const mayHaveRunBefore = request.home !== undefined &&
    last.error.kind === "runner_unreachable";
  return mayHaveRun || mayHaveRunBefore ? failure("outcome_unknown") : last;
}

function choosePeer(
  request: ServiceCall,
  router: Router,
  tried: ReadonlySet<PeerId>,
  nowMs: number,
): PeerInfo | undefined {
  const { home } = request;
  if (home === undefined) {
    return router.chooseRunner(request.service, tried, nowMs)?.peer;
  }
  const peer = router.members.find(home.peer);
  return peer?.incarnation === home.incarnation ? peer : undefined;
}

/** An order whose home is gone may have run there in an earlier call. */
function noPeerOutcome(request: ServiceCall): CallOutcome {
  return failure(request.home === undefined ? "no_runner" : "outcome_unknown");
}

function failure(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}

function mayRetry(request: ServiceCall, error: GpError): boolean {
  const { retry } = error.descriptor;
  if (retry === "never") return false;
  if (request.home !== undefined) return error.descriptor.ran !== "yes";
  return retry === "always" || request.kind === "check";
}

function recordOutcome(
  router: Router,
  id: PeerId,
  outcome: CallOutcome,
  nowMs: number,
): void {
  if (outcome.ok) router.recordAnswer(id, outcome.tookMs, nowMs);
  else if (isRefusal(outcome.error)) router.recordRefusal(id, nowMs);
  else router.recordFailure(id, nowMs);
  if (outcome.load !== undefined) router.recordLoad(id, outcome.load, nowMs);
}

function isRefusal(error: GpError): boolean {
  return error.descriptor.ran === "no" && error.kind !== "runner_unreachable";
}
