import type { WorkerId } from "../../schema/worker_id.ts";

/** How a service that shares a worker with batch tasks was doing of late. */
export interface ServiceLoad {
  readonly worker: WorkerId;
  readonly service: string;
  readonly latencyMs: number;
}
