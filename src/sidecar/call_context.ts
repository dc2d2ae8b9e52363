import type { StatsdMetrics } from "../adapters/statsd_metrics.ts";
import type { RunnerProxy } from "./runner_proxy.ts";

/** What the handlers of calls and watches need from the sidecar. */
export interface CallContext {
  readonly proxy: RunnerProxy | undefined;
  readonly incarnation: string;
  readonly metrics: StatsdMetrics;
  readonly leavingSignal: AbortSignal;
}
