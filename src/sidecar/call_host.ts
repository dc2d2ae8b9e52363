import type { Metrics } from "../adapters/metrics.ts";
import type { RunnerGate } from "./runner_gate.ts";

/** What the handlers of calls and watches need from the sidecar. */
export interface CallHost {
  readonly gate: RunnerGate | undefined;
  readonly incarnation: string;
  readonly metrics: Metrics;
  readonly leaving: AbortSignal;
}
