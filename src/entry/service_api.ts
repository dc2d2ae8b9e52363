import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import { OrderKey } from "../core/admit/order_key.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { CallAttempt } from "../core/retry/call_attempt.ts";
import type { CallOutcome } from "../core/retry/call_outcome.ts";
import { callPlan } from "../core/retry/call_plan.ts";
import type { CallRequest } from "../core/retry/call_request.ts";
import { RetryBudget } from "../core/retry/retry_budget.ts";
import { parseJson } from "../http/parse_json.ts";
import { readBody } from "../http/read_body.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import type { Service } from "../schema/service.ts";
import type { Entry } from "./entry.ts";
import { memberOf } from "./member_of.ts";
import { sendAttempt } from "./send_attempt.ts";
import { WatchRelay } from "./watch_relay.ts";

const shortestTimeoutMs = 1;

/** Answers checks, orders and watches. */
export class ServiceApi {
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #watches: WatchRelay;

  constructor(readonly entry: Entry, leaving: AbortSignal) {
    this.#watches = new WatchRelay(entry, leaving);
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
    const member = memberOf(this.entry.node.config.state, request);
    const target = `${request.method} ${action}`;
    switch (target) {
      case "POST check":
      case "POST order": {
        const kind = action as "check" | "order";
        const call = await this.#readCall(request, service, member, kind);
        await this.#call(call, service, response);
        return;
      }
      case "POST keys":
        this.#mintKey(service, response);
        return;
      case "GET watch":
        await this.#watches.handle(response, service, member, url);
        return;
      default:
        throw new GpError("not_found", `no ${target} at a service`);
    }
  }

  async #readCall(
    request: IncomingMessage,
    service: Service,
    member: CallRequest["member"],
    kind: "check" | "order",
  ): Promise<CallRequest> {
    const body = await readBody(request, this.entry.settings.maxBodyBytes);
    parseJson(body);
    const limitMs = kind === "check"
      ? service.checkTimeoutMs
      : service.orderTimeoutMs;
    const timeoutMs = readTimeout(request, limitMs);
    const base = {
      id: randomUUID(),
      service: service.name,
      member,
      kind,
      deadlineAtMs: monotonicNowMs() + timeoutMs,
      body,
    };
    if (kind === "check") return base;
    const text = request.headers["idempotency-key"];
    const key = typeof text === "string" ? OrderKey.parse(text) : undefined;
    if (key === undefined) {
      const detail = "an order needs an idempotency-key from POST keys";
      throw new GpError("bad_request", detail);
    }
    const home = { peer: key.home, incarnation: key.incarnation };
    return { ...base, idempotencyKey: key.toString(), home };
  }

  async #call(
    call: CallRequest,
    service: Service,
    response: ServerResponse,
  ): Promise<void> {
    const outcome = await this.#run(call, service);
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

  async #run(call: CallRequest, service: Service): Promise<CallOutcome> {
    const { router, metrics, node: { clients } } = this.entry;
    const budget = this.#budgetOf(service);
    const onRetry = (reason: string): void => metrics.count("retry", reason);
    const plan = callPlan(call, router, budget, monotonicNowMs, onRetry);
    let step = plan.next();
    while (!step.done) {
      const attempt: CallAttempt = step.value;
      const outcome = await sendAttempt(clients, call, attempt, metrics);
      step = plan.next(outcome);
    }
    return step.value;
  }

  /** The key's home is the only process that may ever run the order. */
  #mintKey(service: Service, response: ServerResponse): void {
    const nowMs = monotonicNowMs();
    const choice = this.entry.router.choose(service.name, new Set(), nowMs);
    if (choice === undefined) throw new GpError("no_runner");
    const { id, incarnation } = choice.peer;
    const key = new OrderKey(id, incarnation, Date.now(), randomUUID());
    sendJson(response, 201, { idempotencyKey: key.toString() });
  }

  #budgetOf(service: Service): RetryBudget {
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
  if (!Number.isInteger(value) || value < shortestTimeoutMs) {
    throw new GpError(
      "bad_request",
      "x-timeout-ms is not a whole number above 0",
    );
  }
  return Math.min(value, limitMs);
}
