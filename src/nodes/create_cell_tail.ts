import type { Logger } from "../adapters/logger.ts";
import type { JobDirectory } from "../cellhost/job_directory.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";
import { streams } from "../cellhost/streams.ts";
import type { Store } from "../core/store/store.ts";

/** A standby's pause between reads of the keeper's stream; bounds its lag. */
const standbyPauseMs = 200;

/** Creates the tail by which a standby follows the keeper's stream. */
export function createCellTail(
  store: Store,
  directory: JobDirectory,
  log: Logger,
): StreamTail {
  return new StreamTail(
    store,
    streams.cell,
    { waitMs: 0, pauseMs: standbyPauseMs },
    (rows) => directory.applyProgressRows(rows),
    log,
  );
}
