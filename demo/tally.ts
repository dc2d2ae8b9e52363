import { build, type Histogram } from "hdr-histogram-js";
import type { CallKind } from "./call_kind.ts";

const microPerMs = 1_000;

interface Row {
  readonly latency: Histogram;
  ok: number;
  refused: number;
}

/** Counts answers and their latencies by class. */
export class Tally {
  readonly rows = new Map<CallKind, Row>();
  readonly refusals = new Map<string, number>();

  /** A call was answered well. */
  ok(kind: CallKind, tookMs: number): void {
    const row = this.#of(kind);
    row.ok += 1;
    row.latency.recordValue(Math.max(1, Math.round(tookMs * microPerMs)));
  }

  /** A call was refused or failed. */
  refused(kind: CallKind, error: string): void {
    this.#of(kind).refused += 1;
    const key = `${kind} ${error}`;
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
  }

  /** A percentile of a class's latency. */
  percentileMs(kind: CallKind, percentile: number): number {
    return this.#of(kind).latency.getValueAtPercentile(percentile) / microPerMs;
  }

  #of(kind: CallKind): Row {
    const known = this.rows.get(kind);
    if (known !== undefined) return known;
    const row = { latency: build(), ok: 0, refused: 0 };
    this.rows.set(kind, row);
    return row;
  }
}
