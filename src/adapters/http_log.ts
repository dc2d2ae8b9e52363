import * as v from "valibot";
import { GpError } from "../core/errors/gp_error.ts";
import type { Log } from "../core/log/log.ts";
import type { LogPage } from "../core/log/log_page.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import { connectFailed } from "./connect_failed.ts";
import type { HttpPools } from "./http_pools.ts";

const timeoutMs = 3_000;
const unavailableStatuses: ReadonlySet<number> = new Set([429, 503]);

const Appended = v.object({ first: v.number() });
const Page = v.object({
  from: v.number(),
  records: v.array(v.unknown()),
  end: v.number(),
  oldest: v.number(),
});

/** HTTP client of the platform's log. */
export class HttpLog implements Log {
  constructor(readonly endpoint: Endpoint, readonly pools: HttpPools) {}

  async append(
    stream: string,
    records: readonly unknown[],
  ): Promise<number> {
    const path = `/streams/${stream}/append`;
    const answer = await this.#call("POST", path, { records });
    return v.parse(Appended, answer).first;
  }

  async read(stream: string, from: number, max: number): Promise<LogPage> {
    const path = `/streams/${stream}?from=${from}&max=${max}`;
    return v.parse(Page, await this.#call("GET", path, undefined));
  }

  async #call(
    method: "GET" | "POST",
    path: string,
    body: unknown,
  ): Promise<unknown> {
    try {
      const { endpoint, pools } = this;
      const answer = await pools.requestJson(
        endpoint,
        method,
        path,
        body,
        timeoutMs,
      );
      if (answer.statusCode === 200) return answer.body;
      if (unavailableStatuses.has(answer.statusCode)) {
        throw new GpError("log_unavailable", `status ${answer.statusCode}`);
      }
      throw new GpError("internal", `log status ${answer.statusCode}`);
    } catch (cause) {
      if (cause instanceof GpError) throw cause;
      // After an append whose request may have been sent, the caller must treat
      // the outcome as unknown.
      const hasNoEffect = method === "GET" || connectFailed(cause);
      const kind = hasNoEffect ? "log_unavailable" : "outcome_unknown";
      throw new GpError(kind, `log: ${(cause as Error).message}`);
    }
  }
}
