import type { WorkerOp } from "./worker_op.ts";

/** Operations for a worker, void after an instant of its own clock. */
export interface WorkerOrder {
  /** The start of the worker that the order is meant for. */
  readonly bootId: string;
  /** Leases granted by this order end here, by the worker's clock. */
  readonly validUntilMs: number;
  readonly ops: readonly WorkerOp[];
  /** Renews all running attempts, if they still have this digest. */
  readonly renewDigest?: string;
  /** The answer may leave out attempts that have this digest. */
  readonly knownDigest?: string;
}
