import type { WorkerId } from "../../schema/worker_id.ts";

/** The recent latency of a service that shares a worker with batch tasks. */
export interface ServiceLatency {
  readonly worker: WorkerId;
  readonly service: string;
  readonly latencyMs: number;
}
