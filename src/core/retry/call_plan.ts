import type { PeerId } from "../../schema/peer_id.ts";
import { GpError } from "../errors/gp_error.ts";
import type { PeerInfo } from "../members/peer_info.ts";
import type { Router } from "../route/router.ts";
import type { CallAttempt } from "./call_attempt.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { CallRequest } from "./call_request.ts";
import type { RetryBudget } from "./retry_budget.ts";

const mostAttempts = 3;

type Plan = Generator<CallAttempt, CallOutcome, CallOutcome>;

/**
 * Decides the attempts of one call. Yields an attempt, is given its outcome,
 * and returns the answer for the caller. Only what was not run, or may safely
 * run again, is tried again, within the deadline and the budget.
 */
export function* callPlan(
  request: CallRequest,
  router: Router,
  budget: RetryBudget,
  clock: () => number,
  onRetry: (reason: string) => void,
): Plan {
  const outcomes: CallOutcome[] = [];
  const attempts = tryOn(request, router, budget, clock, onRetry);
  let step = attempts.next();
  while (!step.done) {
    const outcome = yield step.value;
    outcomes.push(outcome);
    step = attempts.next(outcome);
  }
  return truthful(request, step.value, outcomes);
}

function* tryOn(
  request: CallRequest,
  router: Router,
  budget: RetryBudget,
  clock: () => number,
  onRetry: (reason: string) => void,
): Plan {
  const tried = new Set<PeerId>();
  let last: CallOutcome | undefined;
  budget.deposit();
  for (let number = 1; number <= mostAttempts; number++) {
    const nowMs = clock();
    const timeoutMs = Math.floor(request.deadlineAtMs - nowMs);
    if (timeoutMs <= 0) return last ?? failure("deadline_too_short");
    const peer = choosePeer(request, router, tried, nowMs);
    if (peer === undefined) return last ?? noPeer(request);
    router.sent(peer.id, nowMs);
    const outcome = yield { number, peer, timeoutMs };
    book(router, peer.id, outcome, clock());
    if (outcome.ok || !mayRetry(request, outcome.error)) return outcome;
    last = outcome;
    tried.add(peer.id);
    if (number === mostAttempts || !budget.withdraw()) return outcome;
    onRetry(outcome.error.kind);
  }
  return last ?? failure("no_runner");
}

/** "Not run" must hold for every attempt, and for earlier calls of an order. */
function truthful(
  request: CallRequest,
  last: CallOutcome,
  outcomes: readonly CallOutcome[],
): CallOutcome {
  if (last.ok || last.error.descriptor.ran !== "no") return last;
  const mayHaveRun = outcomes.some((outcome) =>
    !outcome.ok && outcome.error.descriptor.ran !== "no"
  );
  const isHomeAway = request.home !== undefined &&
    last.error.kind === "runner_unreachable";
  return mayHaveRun || isHomeAway ? failure("outcome_unknown") : last;
}

function choosePeer(
  request: CallRequest,
  router: Router,
  tried: ReadonlySet<PeerId>,
  nowMs: number,
): PeerInfo | undefined {
  const { home } = request;
  if (home === undefined) {
    return router.choose(request.service, tried, nowMs)?.peer;
  }
  const peer = router.members.find(home.peer);
  return peer?.incarnation === home.incarnation ? peer : undefined;
}

/** An order whose home is gone may have run there in an earlier try. */
function noPeer(request: CallRequest): CallOutcome {
  return failure(request.home === undefined ? "no_runner" : "outcome_unknown");
}

function failure(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}

function mayRetry(request: CallRequest, error: GpError): boolean {
  const { retry } = error.descriptor;
  if (retry === "never") return false;
  if (request.home !== undefined) return error.descriptor.ran !== "yes";
  return retry === "always" || request.kind === "check";
}

function book(
  router: Router,
  id: PeerId,
  outcome: CallOutcome,
  nowMs: number,
): void {
  if (outcome.ok) router.answered(id, outcome.tookMs, nowMs);
  else if (isRefusal(outcome.error)) router.refused(id, nowMs);
  else router.failed(id, nowMs);
  if (outcome.load !== undefined) router.told(id, outcome.load, nowMs);
}

function isRefusal(error: GpError): boolean {
  return error.descriptor.ran === "no" && error.kind !== "runner_unreachable";
}
