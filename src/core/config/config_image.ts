import type { ConfigRow } from "./config_row.ts";

/** A whole configuration as of a revision. */
export interface ConfigImage {
  readonly revision: number;
  /** All records before this offset are in the image. */
  readonly covers: number;
  readonly rows: readonly ConfigRow[];
  /** Items taken out, with the revision that did it. */
  readonly removed: readonly (readonly [string, number, string])[];
}
