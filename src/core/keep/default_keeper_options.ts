import type { KeeperOptions } from "./keeper_options.ts";

/** Default options, for a cell of up to 256 workers. */
export const defaultKeeperOptions: Omit<
  KeeperOptions,
  "self" | "incarnation" | "cell"
> = {
  lease: {
    leaseMs: 6_000,
    freshMs: 2_000,
    pledgeMs: 3_000,
    marginMs: 500,
    driftRatio: 0.01,
  },
  syncEveryMs: 1_000,
  fullReportEveryMs: 10_000,
  flushEveryMs: 200,
  readEveryMs: 500,
  keepAliveEveryMs: 500,
  candidates: 5,
  recordsPerSnapshot: 10_000,
  snapshotEveryMs: 300_000,
  rowsPerSnapshotPart: 200,
  claimsPerSecond: 40,
  evictionsPerSecond: 10,
  endedJobsKept: 500,
};
