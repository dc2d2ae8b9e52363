import type { Ran } from "./ran.ts";

/** How one error kind is reported to callers and operators. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  /** Exit code of the command line. */
  readonly exitCode: number;
  readonly ran: Ran;
  /** Whether to retry; `idempotent`: only a request that is idempotent. */
  readonly retry: "always" | "idempotent" | "never";
  readonly text: string;
}
