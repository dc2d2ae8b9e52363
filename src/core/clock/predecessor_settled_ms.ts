/** After this no call of an earlier process of a sidecar is under way any more. */
export const predecessorSettledMs = 2_000;
