import type { ServerResponse } from "node:http";
import type { CallerTime } from "../nodes/caller_time.ts";

const defaultDeadlineMs = 3_000;
/** The part of a caller's deadline reserved for the answer to arrive. */
const answerMarginMs = 150;
/** The longest that a request is handled, whatever its caller states. */
const maxWithinMs = 60_000;

/** The time to handle a request, from the deadline that its caller states. */
export function callerTimeOf(
  deadline: string | string[] | undefined,
  response: ServerResponse,
): CallerTime {
  const requestedMs = Number(deadline);
  const deadlineMs = requestedMs > 0 ? requestedMs : defaultDeadlineMs;
  const closed = new AbortController();
  response.once("close", () => closed.abort());
  return {
    arrivedAtMs: performance.now(),
    deadlineMs,
    withinMs: Math.min(
      maxWithinMs,
      Math.max(answerMarginMs, deadlineMs - answerMarginMs),
    ),
    signal: closed.signal,
  };
}
