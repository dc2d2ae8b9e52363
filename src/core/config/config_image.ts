import type { ConfigRow } from "./config_row.ts";

/** A snapshot of the whole configuration as of a revision. */
export interface ConfigImage {
  readonly revision: number;
  /** All records before this offset are in the image. */
  readonly covers: number;
  readonly rows: readonly ConfigRow[];
  /** The key of each removed item, with the removing revision and operator. */
  readonly removed: readonly (readonly [string, number, string])[];
}
