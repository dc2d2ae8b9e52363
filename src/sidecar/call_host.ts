import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import type { RunnerGate } from "./runner_gate.ts";

/** What answering calls needs of the sidecar. */
export interface CallHost {
  readonly gate: RunnerGate | undefined;
  readonly incarnation: string;
  readonly metrics: StatsdMetrics;
  readonly leaving: AbortSignal;
}
