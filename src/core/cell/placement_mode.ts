/**
 * Whether placement skips suspended workers and those whose services a filler
 * would slow down ("strict"), or accepts them ("relaxed").
 */
export type PlacementMode = "strict" | "relaxed";
