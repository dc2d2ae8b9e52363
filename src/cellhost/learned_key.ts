/** The key, in the keeper's stream, of what was learned of interference. */
export const learnedKey = "learned";
