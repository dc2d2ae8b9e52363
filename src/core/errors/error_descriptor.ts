import type { ExecutionStatus } from "./execution_status.ts";

/** How one error kind is reported to callers and operators. */
export interface ErrorDescriptor {
  readonly httpStatus: number;
  /** Exit code of the command line. */
  readonly exitCode: number;
  readonly ran: ExecutionStatus;
  /** Whether to retry; `idempotent`: only a request that is idempotent. */
  readonly retry: "always" | "idempotent" | "never";
  readonly text: string;
}
