import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import type { RunnerGate } from "./runner_gate.ts";

/** What the handlers of calls and watches need from the sidecar. */
export interface CallHost {
  readonly gate: RunnerGate | undefined;
  readonly incarnation: string;
  readonly metrics: StatsdMetrics;
  readonly leaving: AbortSignal;
}
