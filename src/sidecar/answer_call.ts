import { create } from "@bufbuild/protobuf";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import {
  type CallReply,
  CallReplySchema,
  type CallRequest,
} from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { CallContext } from "./call_context.ts";

/** Runs a check or an order on the runner and builds the reply. */
export async function answerCall(
  context: CallContext,
  request: CallRequest,
): Promise<CallReply> {
  const { requestId, attempt } = request;
  const outcome = await runCall(context, request);
  const load = context.proxy?.admission.load ?? 0;
  if (outcome.ok) {
    const { body } = outcome;
    return create(CallReplySchema, { requestId, attempt, body, load });
  }
  const { kind, detail, retryAfterMs } = outcome.error;
  return create(CallReplySchema, {
    requestId,
    attempt,
    load,
    error: kind,
    detail,
    retryAfterMs,
  });
}

async function runCall(
  context: CallContext,
  request: CallRequest,
): Promise<CallOutcome> {
  const { proxy: runnerProxy } = context;
  if (
    runnerProxy === undefined || runnerProxy.info.service !== request.service
  ) {
    return refusal("no_runner");
  }
  const isOrder = request.kind === "order";
  // An earlier incarnation of this process may have run this order.
  if (isOrder && request.homeIncarnation !== context.incarnation) {
    return refusal("outcome_unknown");
  }
  return await runnerProxy.call({
    requestId: request.requestId,
    kind: isOrder ? "order" : "check",
    member: request.member,
    deadlineAtMs: monotonicNowMs() + request.timeoutMs,
    body: request.body,
    idempotencyKey: request.idempotencyKey,
  });
}

function refusal(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}
