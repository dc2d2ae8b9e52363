import type { Verdict } from "./verdict.ts";

/** The verdict on a valid record. */
export const accepted: Verdict = { accepted: true };
