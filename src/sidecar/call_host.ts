import type { Metrics } from "../adapters/metrics.ts";
import type { RunnerGate } from "./runner_gate.ts";

/** What answering calls needs of the sidecar. */
export interface CallHost {
  readonly gate: RunnerGate | undefined;
  readonly incarnation: string;
  readonly metrics: Metrics;
  readonly leaving: AbortSignal;
}
