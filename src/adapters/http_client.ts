import request from "undici/lib/api/api-request.js";
import UndiciPool from "undici/lib/dispatcher/pool.js";
import type { Pool } from "undici";
import { connectFailed } from "./connect_failed.ts";
import { withTimeout } from "./with_timeout.ts";
import { CallDispatcher } from "./call_dispatcher.ts";
import type { HttpOutcome } from "./http_outcome.ts";

const connectTimeoutMs = 1_000;
const keepAliveMs = 20_000;
const closedCodes: ReadonlySet<string> = new Set(["ECONNREFUSED"]);
const timeoutErrors: ReadonlySet<string> = new Set([
  "AbortError",
  "TimeoutError",
]);

/** HTTP client of one address. Calls never throw; each has its own timeout. */
export class HttpClient {
  #pool: Pool;

  constructor(
    readonly address: string,
    readonly openPool: (address: string) => Pool = openUnlimitedPool,
  ) {
    this.#pool = openPool(address);
  }

  async call(
    method: "GET" | "POST",
    path: string,
    body: string | Buffer | undefined,
    headers: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<HttpOutcome> {
    const pool = this.#pool;
    const dispatcher = new CallDispatcher(pool);
    try {
      return await withTimeout(timeoutMs, async (signal) => {
        const answer = request.call(dispatcher, {
          method,
          path,
          headers: { ...headers },
          ...(body === undefined ? {} : { body }),
          signal,
        }).then(async ({ statusCode, body }): Promise<HttpOutcome> => ({
          kind: "answer",
          status: statusCode,
          body: Buffer.from(await body.arrayBuffer()),
        }));
        // The signal has no effect before the call has got a connection.
        return await Promise.race([answer, rejectOnAbort(signal)]);
      });
    } catch (cause) {
      if (this.#pool === pool) this.#reopen();
      const detail = (cause as Error).message;
      if (!dispatcher.hasConnection || connectFailed(cause)) {
        const isClosed = connectFailed(cause, closedCodes);
        return { kind: "refused", isClosed, detail };
      }
      const isBroken = !timeoutErrors.has((cause as Error).name);
      return { kind: "unknown", isBroken, detail };
    }
  }

  /** Replaces the pool after a failed call: its connections may all be dead. */
  #reopen(): void {
    const previous = this.#pool;
    this.#pool = this.openPool(this.address);
    previous.close().catch(() => {
      // The old pool's remaining calls end by their own timeouts.
    });
  }
}

function openUnlimitedPool(address: string): Pool {
  return new UndiciPool(`http://${address}`, {
    // No limit.
    connections: null,
    pipelining: 1,
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: keepAliveMs,
    // Disabled: `call` applies the timeout of each call.
    headersTimeout: 0,
    bodyTimeout: 0,
  }) as Pool;
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    signal.addEventListener("abort", () => reject(signal.reason), {
      once: true,
    });
  });
}
