import type { CellId } from "../../schema/cell_id.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { LeaseOptions } from "../lease/lease_options.ts";

/** What one keeper needs to know of its surroundings. */
export interface KeeperOptions {
  readonly self: PeerId;
  /** Differs after each start of the process. */
  readonly incarnation: string;
  readonly cell: CellId;
  readonly lease: LeaseOptions;
  /** Time between two exchanges with a worker. */
  readonly syncEveryMs: number;
  /** Time after which a worker is asked to tell all, use included. */
  readonly fullReportEveryMs: number;
  /** Time between two appends that are not urgent. */
  readonly flushEveryMs: number;
  /** Time between two reads of the stream's end. */
  readonly readEveryMs: number;
  /** Time between two keep-alives to the candidates. */
  readonly keepAliveEveryMs: number;
  readonly candidates: number;
  readonly recordsPerSnapshot: number;
  readonly snapshotEveryMs: number;
  readonly rowsPerSnapshotPart: number;
  readonly claimsPerSecond: number;
  readonly evictionsPerSecond: number;
  /** How many ended jobs stay in the ledger. */
  readonly endedJobsKept: number;
}
