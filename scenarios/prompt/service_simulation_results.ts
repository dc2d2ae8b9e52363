import { build } from "hdr-histogram-js";

/** The histograms count whole microseconds. */
const microsPerMs = 1_000;

/** Counts and latencies of the requests of one run. */
export class ServiceSimulationResults {
  offered = 0;
  answered = 0;
  retries = 0;
  /** Requests that runners started, also those whose caller timed out. */
  startedRequests = 0;
  readonly refusals = new Map<string, number>();
  readonly answeredByMember = new Map<string, number>();
  readonly offeredByMember = new Map<string, number>();
  readonly latency = build();
  readonly refusalLatency = build();

  /** Records an answered request of the member. */
  recordAnswer(member: string, tookMs: number): void {
    this.answered += 1;
    this.answeredByMember.set(
      member,
      (this.answeredByMember.get(member) ?? 0) + 1,
    );
    this.latency.recordValue(Math.round(tookMs * microsPerMs));
  }

  /** Records a refused or failed request. */
  recordFailure(kind: string, isRefusal: boolean, tookMs: number): void {
    this.refusals.set(kind, (this.refusals.get(kind) ?? 0) + 1);
    if (isRefusal) {
      this.refusalLatency.recordValue(Math.round(tookMs * microsPerMs));
    }
  }

  /** A percentile (0 to 100) of the answers' latency. */
  answerPercentileMs(percentile: number): number {
    return this.latency.getValueAtPercentile(percentile) / microsPerMs;
  }

  /** A percentile (0 to 100) of the refusals' latency. */
  refusalPercentileMs(percentile: number): number {
    return this.refusalLatency.getValueAtPercentile(percentile) / microsPerMs;
  }
}
