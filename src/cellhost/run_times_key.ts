/** The key, in the keeper's stream, of what was learned of run times. */
export const runTimesKey = "runTimes";
