import type { WorkerOp } from "./worker_op.ts";

/** Operations for a worker, void after an instant of its own clock. */
export interface WorkerCommand {
  /** The start of the worker that the command is for; others ignore it. */
  readonly bootId: string;
  /** End of the command and of the leases it grants, by the worker's clock. */
  readonly validUntilMs: number;
  readonly ops: readonly WorkerOp[];
  /** Renews all running attempts, if the attempts have this digest. */
  readonly renewDigest?: string;
  /** The answer may omit capacity and attempts if they have this digest. */
  readonly knownDigest?: string;
}
