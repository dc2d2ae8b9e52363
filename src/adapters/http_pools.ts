import request from "undici/lib/api/api-request.js";
import Pool from "undici/lib/dispatcher/pool.js";
import type { Dispatcher, Pool as PoolType } from "undici";
import type { Endpoint } from "../schema/endpoint.ts";
import { withTimeout } from "./with_timeout.ts";

const connectTimeoutMs = 1_000;
const keepAliveMs = 10_000;

/** Maintains one connection pool per endpoint. */
export class HttpPools {
  readonly #pools = new Map<string, PoolType>();

  constructor(readonly connectionsPerEndpoint: number) {}

  /** Sends a JSON body and returns the status and the JSON answer. */
  async requestJson(
    endpoint: Endpoint,
    method: "GET" | "POST",
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<{ statusCode: number; body: unknown }> {
    return await withTimeout(timeoutMs, async (signal) => {
      const { statusCode, body: answer } = await this.send(endpoint, {
        method,
        path,
        headers: { "content-type": "application/json" },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        signal,
      });
      return { statusCode, body: await answer.json() };
    });
  }

  /** Sends a request over one of the endpoint's connections. */
  async send(
    endpoint: Endpoint,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    return await request.call(this.#poolOf(endpoint), options);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#pools.values()].map((pool) => pool.destroy()));
  }

  #poolOf({ host, port }: Endpoint): Dispatcher {
    const origin = `http://${host}:${port}`;
    const existing = this.#pools.get(origin);
    if (existing !== undefined) return existing;
    const pool = new Pool(origin, {
      connections: this.connectionsPerEndpoint,
      connect: { timeout: connectTimeoutMs },
      keepAliveTimeout: keepAliveMs,
      pipelining: 1,
    }) as PoolType;
    this.#pools.set(origin, pool);
    return pool;
  }
}
