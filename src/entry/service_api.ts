import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { OrderKey } from "../core/admit/order_key.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallAttempt } from "../core/retry/call_attempt.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import { planAttempts } from "../core/retry/plan_attempts.ts";
import type { ServiceCall } from "../core/retry/service_call.ts";
import { RetryBudget } from "../core/retry/retry_budget.ts";
import { parseJson } from "../http/parse_json.ts";
import { readBody } from "../http/read_body.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import type { Service } from "../schema/service.ts";
import type { Entry } from "./entry.ts";
import { readMember } from "./read_member.ts";
import { sendAttempt } from "./send_attempt.ts";
import { WatchRelay } from "./watch_relay.ts";

const minTimeoutMs = 1;

/** Serves `/services`: checks, orders, their keys, and watches. */
export class ServiceApi {
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #watches: WatchRelay;

  constructor(readonly entry: Entry, leavingSignal: AbortSignal) {
    this.#watches = new WatchRelay(entry, leavingSignal);
  }

  /** Answers a request to `/services/SERVICE/ACTION`. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    name: string,
    action: string,
    url: URL,
  ): Promise<void> {
    const service = this.entry.node.config.state.find("service", name);
    if (service === undefined) throw new GpError("unknown_service", name);
    const member = readMember(this.entry.node.config.state, request);
    const operation = `${request.method} ${action}`;
    switch (operation) {
      case "POST check":
      case "POST order": {
        const kind = action as "check" | "order";
        const call = await this.#parseCall(request, service, member, kind);
        await this.#answerCall(call, service, response);
        return;
      }
      case "POST keys":
        this.#createOrderKey(service, response);
        return;
      case "GET watch":
        await this.#watches.handle(response, service, member, url);
        return;
      default:
        throw new GpError("not_found", `no ${operation} at a service`);
    }
  }

  async #parseCall(
    request: IncomingMessage,
    service: Service,
    member: ServiceCall["member"],
    kind: "check" | "order",
  ): Promise<ServiceCall> {
    const { maxBodyBytes: maxBytes } = this.entry.settings;
    const body = await readBody(request, { maxBytes });
    // Rejects a body that is not JSON; the runner gets the bytes unchanged.
    parseJson(body);
    const limitMs = kind === "check"
      ? service.checkTimeoutMs
      : service.orderTimeoutMs;
    const timeoutMs = readTimeout(request, limitMs);
    const fields = {
      id: randomUUID(),
      service: service.name,
      member,
      kind,
      deadlineAtMs: monotonicNowMs() + timeoutMs,
      body,
    };
    if (kind === "check") return fields;
    const text = request.headers["idempotency-key"];
    const key = typeof text === "string" ? OrderKey.parse(text) : undefined;
    if (key === undefined) {
      const detail = "an order needs an idempotency-key from POST keys";
      throw new GpError("bad_request", detail);
    }
    const home = { peer: key.home, incarnation: key.incarnation };
    return { ...fields, idempotencyKey: key.toString(), home };
  }

  async #answerCall(
    call: ServiceCall,
    service: Service,
    response: ServerResponse,
  ): Promise<void> {
    const outcome = await this.#runAttempts(call, service);
    const { metrics } = this.entry;
    response.setHeader("x-request-id", call.id);
    if (outcome.ok) {
      metrics.count("answer", "ok");
      response.writeHead(200, {
        "content-type": "application/json",
        "content-length": outcome.body.byteLength,
      });
      response.end(outcome.body);
      return;
    }
    metrics.count("answer", outcome.error.kind);
    sendError(response, outcome.error, { requestId: call.id });
  }

  async #runAttempts(
    call: ServiceCall,
    service: Service,
  ): Promise<CallOutcome> {
    const { router, metrics, node: { clients } } = this.entry;
    const budget = this.#retryBudgetFor(service);
    const onRetry = (reason: string): void => metrics.count("retry", reason);
    const attempts = planAttempts(
      call,
      router,
      budget,
      monotonicNowMs,
      onRetry,
    );
    let step = attempts.next();
    while (!step.done) {
      const attempt: CallAttempt = step.value;
      const outcome = await sendAttempt(clients, call, attempt, metrics);
      step = attempts.next(outcome);
    }
    return step.value;
  }

  /** Creates a key with a home: the only process that may run the order. */
  #createOrderKey(service: Service, response: ServerResponse): void {
    const nowMs = monotonicNowMs();
    const target = this.entry.router.chooseRunner(
      service.name,
      new Set(),
      nowMs,
    );
    if (target === undefined) throw new GpError("no_runner");
    const { id, incarnation } = target.peer;
    const key = new OrderKey(id, incarnation, Date.now(), randomUUID());
    sendJson(response, 201, { idempotencyKey: key.toString() });
  }

  #retryBudgetFor(service: Service): RetryBudget {
    const known = this.#budgets.get(service.name);
    if (known !== undefined) {
      known.ratio = service.retryBudgetRatio;
      return known;
    }
    const budget = new RetryBudget(service.retryBudgetRatio);
    this.#budgets.set(service.name, budget);
    return budget;
  }
}

function readTimeout(request: IncomingMessage, limitMs: number): number {
  const text = request.headers["x-timeout-ms"];
  if (text === undefined) return limitMs;
  const value = Number(text);
  if (!Number.isInteger(value) || value < minTimeoutMs) {
    throw new GpError(
      "bad_request",
      "x-timeout-ms is not a whole number above 0",
    );
  }
  return Math.min(value, limitMs);
}
