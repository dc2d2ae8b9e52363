import type { WorkerCommand } from "../core/worker/worker_command.ts";
import type { WorkerAnswer } from "../core/worker/worker_answer.ts";
import { GpError } from "../core/errors/gp_error.ts";
import type { Endpoint } from "../schema/endpoint.ts";
import type { HttpPools } from "./http_pools.ts";

const timeoutMs = 1_500;

/** HTTP client of the platform's workers. */
export class HttpWorker {
  constructor(readonly pools: HttpPools) {}

  /** Sends a worker a command, if there is one, and returns its report. */
  async apply(
    endpoint: Endpoint,
    command: WorkerCommand | undefined,
  ): Promise<WorkerAnswer> {
    const body = command ?? {};
    const answer = await this.pools.requestJson(
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
