/** A call without an answer may be executed up to this much later. */
export const maxLatenessMs = 15_000;
