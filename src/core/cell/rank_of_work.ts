/**
 * How much a job's rank rises for each core-second that it still needs: under
 * overload, many small jobs in time are worth more than one large one.
 */
const rankPerCoreSecondMs = 40;
const milliPerCore = 1_000;
const msPerSecond = 1_000;

/** The part of a job's rank for its work, in millicores times milliseconds. */
export function rankOfWork(milliMs: number): number {
  return milliMs / milliPerCore / msPerSecond * rankPerCoreSecondMs;
}
