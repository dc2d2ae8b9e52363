import { connectFailed } from "../adapters/connect_failed.ts";
import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import type { ErrorKind } from "../core/errors/error_kind.ts";
import { errorTable } from "../core/errors/error_table.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallAttempt } from "../core/retry/call_attempt.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import type { ServiceCall } from "../core/retry/service_call.ts";
import type { RpcClients } from "../rpc/rpc_clients.ts";
import type { CallReply } from "../rpc/gen/gypsumpond/v1/runner_pb.ts";

/** Sends one attempt to a sidecar and returns its outcome; never throws. */
export async function sendAttempt(
  clients: RpcClients,
  request: ServiceCall,
  { number, peer, timeoutMs }: CallAttempt,
  metrics: StatsdMetrics,
): Promise<CallOutcome> {
  const startedAtMs = monotonicNowMs();
  const elapsedMs = (): number => monotonicNowMs() - startedAtMs;
  try {
    const reply = await clients.runner(peer.endpoint).call({
      requestId: request.id,
      attempt: number,
      service: request.service,
      member: request.member,
      kind: request.kind,
      timeoutMs,
      body: request.body,
      idempotencyKey: request.idempotencyKey ?? "",
      homeIncarnation: request.home?.incarnation ?? "",
    }, { timeoutMs });
    const error = replyError(reply, request, number);
    if (error === undefined) {
      const { body, load } = reply;
      return { ok: true, body, load, tookMs: elapsedMs() };
    }
    if (error.kind === "mismatched") metrics.count("answer.crossed");
    return { ok: false, error, load: reply.load, tookMs: elapsedMs() };
  } catch (cause) {
    return { ok: false, error: transportError(cause), tookMs: elapsedMs() };
  }
}

function replyError(
  reply: CallReply,
  request: ServiceCall,
  attempt: number,
): GpError | undefined {
  const belongsToAttempt = reply.requestId === request.id &&
    reply.attempt === attempt;
  if (!belongsToAttempt) return new GpError("mismatched");
  if (reply.error === "") return undefined;
  // A kind that this version lacks does not say whether the request ran.
  const isKnown = reply.error in errorTable;
  const kind = isKnown ? reply.error as ErrorKind : "outcome_unknown";
  return new GpError(kind, reply.detail, reply.retryAfterMs);
}

function transportError(cause: unknown): GpError {
  if (connectFailed(cause)) return new GpError("runner_unreachable");
  const { name } = cause as Error;
  if (name === "TimeoutError") return new GpError("timeout");
  return new GpError("outcome_unknown", (cause as Error).message);
}
