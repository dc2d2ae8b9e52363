import type { Verdict } from "./verdict.ts";

/** The verdict that lets a record stand. */
export const accepted: Verdict = { accepted: true };
