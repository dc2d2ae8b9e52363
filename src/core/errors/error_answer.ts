import type { Ran } from "./ran.ts";

/** What the caller or operator is told for one error kind. */
export interface ErrorAnswer {
  readonly httpStatus: number;
  readonly exitCode: number;
  readonly ran: Ran;
  readonly retry: "always" | "idempotent" | "never";
  readonly text: string;
}
