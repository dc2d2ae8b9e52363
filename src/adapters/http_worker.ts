import type { WorkerOrder } from "../core/worker/worker_order.ts";
import type { WorkerAnswer } from "../core/worker/worker_answer.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { HttpPools } from "./http_pools.ts";

const timeoutMs = 1_500;

/** A worker of the platform over its HTTP interface. */
export class HttpWorker {
  constructor(readonly pools: HttpPools) {}

  /** Gives a worker an order, or none, and reads its report. */
  async apply(
    endpoint: Endpoint,
    order: WorkerOrder | undefined,
  ): Promise<WorkerAnswer> {
    const body = order ?? {};
    const answer = await this.pools.json(
      endpoint,
      "POST",
      "/apply",
      body,
      timeoutMs,
    );
    if (answer.statusCode !== 200) {
      throw new GpError("internal", `worker status ${answer.statusCode}`);
    }
    return answer.body as WorkerAnswer;
  }
}
