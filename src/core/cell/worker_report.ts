import type { Resources } from "../../schema/resources.ts";
import type { RunEnd } from "../jobs/run_end.ts";
import type { RunStatus } from "../jobs/run_status.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";

/** What a sidecar tells of its runner. */
export interface WorkerReport {
  readonly life: RunnerLife;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The runner goes away soon and takes nothing new. */
  readonly isDraining: boolean;
  /** The runner answers. */
  readonly isUp: boolean;
  /** The lease of this life has surely run out: nothing of it runs. */
  readonly isLapsed: boolean;
  readonly running: readonly RunStatus[];
  readonly ends: readonly RunEnd[];
  /** How many runs it has found of which it knows nothing more. */
  readonly unexplained: number;
  /** Keys of the runs whose start or stop is not settled. */
  readonly unsettled: readonly string[];
}
