import type { CellId } from "../../schema/cell_id.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { LeaseOptions } from "../lease/lease_options.ts";

/** Identity, intervals and limits of one keeper. */
export interface KeeperOptions {
  readonly self: PeerId;
  /** Changes with each start of the process. */
  readonly incarnation: string;
  readonly cell: CellId;
  readonly lease: LeaseOptions;
  /** Time between two exchanges with a worker. */
  readonly syncEveryMs: number;
  /** Time after which a worker must send a full report, with resource usage. */
  readonly fullReportEveryMs: number;
  /** Least time between two appends, unless an urgent task waits. */
  readonly flushEveryMs: number;
  /** Time between two reads of the stream's end. */
  readonly readEveryMs: number;
  /** Time between two keep-alives to the candidates. */
  readonly keepAliveEveryMs: number;
  /** How many candidates an epoch names, the keeper included. */
  readonly candidates: number;
  /** Records after which a snapshot is due. */
  readonly recordsPerSnapshot: number;
  /** Time after which a snapshot is due if there are new records. */
  readonly snapshotEveryMs: number;
  readonly rowsPerSnapshotPart: number;
  readonly claimsPerSecond: number;
  readonly evictionsPerSecond: number;
  /** How many ended jobs stay in the ledger. */
  readonly endedJobsKept: number;
}
