import { build, type Histogram } from "hdr-histogram-js";
import type { CallKind } from "./call_kind.ts";

/** The histograms count whole microseconds. */
const microsPerMs = 1_000;

interface CallRow {
  readonly latency: Histogram;
  ok: number;
  refused: number;
}

/** Counts answers and their latencies, by kind of call. */
export class Tally {
  readonly rows = new Map<CallKind, CallRow>();
  /** Refusals and failures, by kind of call and error. */
  readonly refusals = new Map<string, number>();

  /** Records a successful answer. */
  recordAnswer(kind: CallKind, tookMs: number): void {
    const row = this.#rowOf(kind);
    row.ok += 1;
    row.latency.recordValue(Math.max(1, Math.round(tookMs * microsPerMs)));
  }

  /** Records a refused or failed call. */
  recordRefusal(kind: CallKind, error: string): void {
    this.#rowOf(kind).refused += 1;
    const key = `${kind} ${error}`;
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
  }

  /** A percentile (0 to 100) of the latency of a kind of call. */
  percentileMs(kind: CallKind, percentile: number): number {
    return this.#rowOf(kind).latency.getValueAtPercentile(percentile) /
      microsPerMs;
  }

  #rowOf(kind: CallKind): CallRow {
    const known = this.rows.get(kind);
    if (known !== undefined) return known;
    const row = { latency: build(), ok: 0, refused: 0 };
    this.rows.set(kind, row);
    return row;
  }
}
