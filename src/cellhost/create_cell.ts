import { Cell } from "../core/cell/cell.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";

/** A run is stuck after this share of its expected time without progress. */
const stuckFactor = 0.5;
/** The shortest time without progress after which a run is stuck. */
const stuckMinMs = 1_800;
/** The share of what the store accepts in a record that a row may use. */
const rowShare = 0.75;

/** Creates the cell of a keeper's session. */
export function createCell({ writer, unevenLoad }: KeeperSessionOptions): Cell {
  const maxRowBytes = writer.limits.recordBytes * rowShare;
  return new Cell({ stuckFactor, stuckMinMs, maxRowBytes, ...unevenLoad });
}
