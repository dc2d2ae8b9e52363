import type { Dispatcher } from "undici";
import { connectFailed } from "./connect_failed.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { HttpPools } from "./http_pools.ts";
import { withTimeout } from "./with_timeout.ts";

const attemptHeader = "x-attempt-id";

/** HTTP client of a runner. */
export class HttpRunner {
  constructor(readonly pools: HttpPools, readonly endpoint: Endpoint) {}

  /** Sends one attempt and returns its complete answer, or throws a GpError. */
  async call(
    kind: "check" | "order",
    attemptId: string,
    body: Uint8Array,
    timeoutMs: number,
  ): Promise<Uint8Array> {
    return await withTimeout(
      timeoutMs,
      (signal) => this.#call(kind, attemptId, body, signal),
    );
  }

  async #call(
    kind: "check" | "order",
    attemptId: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): Promise<Uint8Array> {
    const answer = await this.#send(kind, attemptId, body, signal);
    const bytes = await readBody(answer);
    if (answer.statusCode !== 200) {
      throw new GpError("runner_failed", `status ${answer.statusCode}`);
    }
    if (answer.headers[attemptHeader] !== attemptId) {
      throw new GpError("mismatched");
    }
    return bytes;
  }

  /** Opens a watch that starts at a position of the runner's stream. */
  async watch(
    fromPosition: number,
    signal: AbortSignal,
  ): Promise<AsyncIterable<Uint8Array>> {
    const answer = await this.pools.send(this.endpoint, {
      method: "GET",
      path: `/watch?from=${fromPosition}`,
      bodyTimeout: 0,
      signal,
    });
    return answer.body;
  }

  async #send(
    kind: "check" | "order",
    attemptId: string,
    body: Uint8Array,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await this.pools.send(this.endpoint, {
        method: "POST",
        path: `/${kind}`,
        headers: {
          "content-type": "application/json",
          [attemptHeader]: attemptId,
        },
        body,
        signal,
      });
    } catch (cause) {
      if (connectFailed(cause)) throw new GpError("runner_unreachable");
      throw new GpError(isTimeout(cause) ? "timeout" : "outcome_unknown");
    }
  }
}

/** Reads the body; one that is not as long as declared was truncated. */
async function readBody(answer: Dispatcher.ResponseData): Promise<Uint8Array> {
  try {
    const bytes = new Uint8Array(await answer.body.arrayBuffer());
    const length = answer.headers["content-length"];
    const isComplete = length !== undefined &&
      Number(length) === bytes.byteLength;
    if (!isComplete) throw new GpError("truncated");
    return bytes;
  } catch (cause) {
    if (cause instanceof GpError) throw cause;
    throw new GpError(isTimeout(cause) ? "timeout" : "truncated");
  }
}

function isTimeout(cause: unknown): boolean {
  const { name, code } = cause as { name?: string; code?: string };
  return name === "TimeoutError" || code === "UND_ERR_HEADERS_TIMEOUT" ||
    code === "UND_ERR_BODY_TIMEOUT";
}
