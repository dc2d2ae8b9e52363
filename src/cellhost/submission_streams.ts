import { streams } from "./streams.ts";

/**
 * The names of the streams that hold jobs and cancellations. The first one is
 * used as long as the store accepts appends to it.
 */
export function submissionStreams(count: number): readonly string[] {
  return Array.from(
    { length: count },
    (_, index) => index === 0 ? streams.jobs : `${streams.jobs}-${index + 1}`,
  );
}
