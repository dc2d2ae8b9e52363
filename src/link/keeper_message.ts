import type { StartOrder } from "../core/cell/start_order.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { Pressure } from "./pressure.ts";
import type { StopOrder } from "./stop_order.ts";

/** What a keeper sends to entries and sidecars. */
export type KeeperMessage =
  | { readonly kind: "hello"; readonly epoch: number; readonly keeper: string }
  /** The report of that number was heard by a keeper in office. */
  | {
    readonly kind: "renew";
    readonly report: number;
    readonly pressures: readonly Pressure[];
  }
  | {
    readonly kind: "orders";
    readonly starts: readonly StartOrder[];
    readonly stops: readonly StopOrder[];
  }
  /** What the sidecar must know of runs that it did not start itself. */
  | { readonly kind: "known"; readonly runs: readonly StartOrder[] }
  | {
    readonly kind: "forget";
    readonly life: RunnerLife;
    readonly end: number;
  }
  | {
    readonly kind: "states";
    readonly jobs: readonly (readonly [JobId, JobState])[];
  }
  /** The keeper cannot reach the store: another that can may take over. */
  | { readonly kind: "unsure" }
  /** The keeper leaves office: take over without waiting. */
  | { readonly kind: "resigned" };
