import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import type { Metrics } from "../adapters/metrics.ts";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import {
  type CallReply,
  CallReplySchema,
  type RunnerService,
  type WatchEventSchema,
} from "../rpc/gen/gypsumpond/v1/runner_pb.ts";
import type { RunnerGate } from "./runner_gate.ts";
import { watchFeed } from "./watch_feed.ts";

type EventInit = MessageInitShape<typeof WatchEventSchema>;

interface Host {
  readonly gate: RunnerGate | undefined;
  readonly incarnation: string;
  readonly metrics: Metrics;
  readonly leaving: AbortSignal;
}

/** What entries call: the runner beside this sidecar, through its gate. */
export function runnerService(host: Host): ServiceImpl<typeof RunnerService> {
  return {
    async call(request): Promise<CallReply> {
      const { requestId, attempt } = request;
      const outcome = await run(host, request);
      if (outcome.ok) {
        return create(CallReplySchema, {
          requestId,
          attempt,
          body: outcome.body,
        });
      }
      const { kind, detail, retryAfterMs } = outcome.error;
      return create(CallReplySchema, {
        requestId,
        attempt,
        error: kind,
        detail,
        retryAfterMs,
      });
    },
    async *watch({ fromPosition }, { signal }): AsyncGenerator<EventInit> {
      const gate = host.gate;
      if (gate === undefined) {
        yield { end: "no_runner" };
        return;
      }
      const stop = AbortSignal.any([signal, host.leaving]);
      let position = fromPosition;
      try {
        const feed = watchFeed(gate.runner, Number(fromPosition), stop);
        for await (const item of feed) {
          position = BigInt(item.position);
          const body = new TextEncoder().encode(JSON.stringify(item.body));
          yield { position, body };
        }
      } catch (cause) {
        const { kind } = GpError.from(cause);
        host.metrics.count(
          "watch.ended",
          host.leaving.aborted ? "leaving" : kind,
        );
      }
      yield {
        position,
        end: host.leaving.aborted ? "leaving" : "runner_failed",
      };
    },
  };
}

async function run(
  host: Host,
  request: Parameters<ServiceImpl<typeof RunnerService>["call"]>[0],
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
