import type { StoreLimits } from "./store_limits.ts";

/** What a store accepts whose settings name no limits. */
export const defaultStoreLimits: StoreLimits = {
  recordBytes: 262_144,
  callBytes: 2_097_152,
};
