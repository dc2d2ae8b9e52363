import { create } from "@bufbuild/protobuf";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import {
  type CallReply,
  CallReplySchema,
  type CallRequest,
} from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { CallHost } from "./call_host.ts";

/** Runs a check or an order through the gate and writes the reply. */
export async function answerCall(
  host: CallHost,
  request: CallRequest,
): Promise<CallReply> {
  const { requestId, attempt } = request;
  const outcome = await run(host, request);
  const load = host.gate?.admission.load ?? 0;
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

async function run(
  host: CallHost,
  request: CallRequest,
): Promise<CallOutcome> {
  const { gate } = host;
  if (gate === undefined || gate.info.service !== request.service) {
    return refused("no_runner");
  }
  const isOrder = request.kind === "order";
  if (isOrder && request.homeIncarnation !== host.incarnation) {
    return refused("outcome_unknown");
  }
  return await gate.call({
    requestId: request.requestId,
    kind: isOrder ? "order" : "check",
    member: request.member,
    deadlineAtMs: monotonicNowMs() + request.timeoutMs,
    body: request.body,
    idempotencyKey: request.idempotencyKey,
  });
}

function refused(kind: GpError["kind"]): CallOutcome {
  return { ok: false, error: new GpError(kind), tookMs: 0 };
}
