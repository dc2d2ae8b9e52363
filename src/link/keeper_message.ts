import type { StartCommand } from "../core/cell/start_command.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { RunId } from "../core/jobs/run_id.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { LoadSummary } from "../core/queueing/load_summary.ts";
import type { ServicePressure } from "./service_pressure.ts";
import type { StopCommand } from "./stop_command.ts";

/** A message from a keeper to an entry or a sidecar. */
export type KeeperMessage =
  | { readonly kind: "hello"; readonly epoch: number; readonly keeper: string }
  /** Renews the lease as of the report with this number. */
  | {
    readonly kind: "renew";
    readonly report: number;
    readonly pressures: readonly ServicePressure[];
    /**
     * How old the keeper's read of the operator's stream is; only where data
     * centres can be evacuated.
     */
    readonly operatorAgeMs?: number;
  }
  /** Whether the sidecar's data centre is evacuated; on connect and change. */
  | { readonly kind: "evacuated"; readonly isEvacuated: boolean }
  | {
    readonly kind: "orders";
    readonly starts: readonly StartCommand[];
    readonly stops: readonly StopCommand[];
  }
  /** Details of claimed runs, for a sidecar that may not have started them. */
  | { readonly kind: "known"; readonly runs: readonly StartCommand[] }
  /** Ends up to this number are stored: the runner may discard them. */
  | {
    readonly kind: "forget";
    readonly life: RunnerLife;
    readonly end: number;
  }
  /** These refusals are taken note of: none of these runs is started again. */
  | { readonly kind: "noted"; readonly refusals: readonly RunId[] }
  /** Jobs whose states have changed; all jobs after a hello. */
  | {
    readonly kind: "states";
    readonly jobs: readonly (readonly [JobId, JobState])[];
  }
  /** The load on the cell's pools, by which entries admit jobs. */
  | ({ readonly kind: "load" } & LoadSummary)
  /** The keeper cannot reach the store: an entry that can may campaign. */
  | { readonly kind: "unsure" }
  /** The keeper resigns: entries may campaign without waiting. */
  | { readonly kind: "resigned" };
