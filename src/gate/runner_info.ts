import type { WorkerReport } from "../core/cell/worker_report.ts";

/** What a heartbeat tells that the keeper is told too. */
type Reported = Pick<
  WorkerReport,
  "pool" | "zone" | "rack" | "labels" | "capacity" | "isDraining"
>;

/** What a runner says of itself in a heartbeat. */
export interface RunnerInfo extends Reported {
  readonly instance: string;
  readonly bornMs: number;
  readonly sequence: number;
}
