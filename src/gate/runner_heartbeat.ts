import type { SidecarReport } from "../core/cell/sidecar_report.ts";

/** The part of a heartbeat that is passed on to the keeper. */
type Reported = Pick<
  SidecarReport,
  "pool" | "zone" | "rack" | "labels" | "capacity" | "coldForMs" | "isDraining"
>;

/** A heartbeat of a runner. */
export interface RunnerHeartbeat extends Reported {
  readonly instance: string;
  /** The runner's start time, which distinguishes its lives. */
  readonly bornMs: number;
  /** Orders the heartbeats of one life. */
  readonly sequence: number;
}
