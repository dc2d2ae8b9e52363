import type { IncomingMessage, ServerResponse } from "node:http";
import { GpError } from "../core/errors/gp_error.ts";
import { sendError } from "../http/send_error.ts";
import { sendJson } from "../http/send_json.ts";
import type { Entry } from "./entry.ts";
import { JobApi } from "./job_api.ts";
import { ServiceApi } from "./service_api.ts";
import { describeStatus } from "./describe_status.ts";

/** Routes callers' HTTP requests: health, status, services and jobs. */
export class CallerApi {
  /** Number of requests that are being handled. */
  inFlight = 0;
  #isLeaving = false;
  readonly #services: ServiceApi;
  readonly #jobs: JobApi;
  readonly #watchAbort = new AbortController();

  constructor(readonly entry: Entry) {
    this.#services = new ServiceApi(entry, this.#watchAbort.signal);
    this.#jobs = new JobApi(entry);
  }

  /** Ends watches, fails health checks, closes connections after a response. */
  leave(): void {
    this.#isLeaving = true;
    this.#watchAbort.abort();
  }

  /** Answers one request; an exception is answered from the error table. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.inFlight += 1;
    if (this.#isLeaving) response.setHeader("connection", "close");
    try {
      await this.#route(request, response);
    } catch (cause) {
      const error = GpError.from(cause);
      this.entry.metrics.count("answer", error.kind);
      if (error.kind === "internal") {
        this.entry.logger.error("internal", { detail: error.detail });
      }
      sendError(response, error);
    } finally {
      this.inFlight -= 1;
    }
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname.split("/").filter((part) => part !== "");
    const [first, second, third] = path;
    const operation = `${request.method} ${first}`;
    if (operation === "GET health") {
      sendJson(response, this.#isLeaving ? 503 : 200, { ok: !this.#isLeaving });
    } else if (operation === "GET status") {
      sendJson(response, 200, describeStatus(this.entry));
    } else if (first === "services" && second && third) {
      await this.#services.handle(request, response, second, third, url);
    } else if (first === "jobs") {
      await this.#jobs.handle(request, response, second);
    } else {
      throw new GpError("not_found", `${request.method} ${url.pathname}`);
    }
  }
}
