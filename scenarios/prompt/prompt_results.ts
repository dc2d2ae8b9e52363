import { build } from "hdr-histogram-js";

const microPerMs = 1_000;

/** What came of the requests of one run. */
export class PromptResults {
  offered = 0;
  answered = 0;
  retries = 0;
  /** Requests that the runners worked on, wanted or not. */
  worked = 0;
  readonly refusals = new Map<string, number>();
  readonly answeredOf = new Map<string, number>();
  readonly offeredOf = new Map<string, number>();
  readonly latency = build();
  readonly refusalLatency = build();

  /** A request of the member was answered. */
  ok(member: string, tookMs: number): void {
    this.answered += 1;
    this.answeredOf.set(member, (this.answeredOf.get(member) ?? 0) + 1);
    this.latency.recordValue(Math.round(tookMs * microPerMs));
  }

  /** A request was refused or failed. */
  failed(kind: string, isRefusal: boolean, tookMs: number): void {
    this.refusals.set(kind, (this.refusals.get(kind) ?? 0) + 1);
    if (isRefusal) {
      this.refusalLatency.recordValue(Math.round(tookMs * microPerMs));
    }
  }

  /** A percentile of the answers' latency. */
  answerMs(percentile: number): number {
    return this.latency.getValueAtPercentile(percentile) / microPerMs;
  }

  /** A percentile of the refusals' latency. */
  refusalMs(percentile: number): number {
    return this.refusalLatency.getValueAtPercentile(percentile) / microPerMs;
  }
}
