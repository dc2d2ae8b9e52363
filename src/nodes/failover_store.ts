import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { AppendResult } from "../core/store/append_result.ts";
import type { NewestPage } from "../core/store/newest_page.ts";
import type { Row } from "../core/store/row.ts";
import type { RowPage } from "../core/store/row_page.ts";
import type { Store } from "../core/store/store.ts";
import type { StoreResult } from "../core/store/store_result.ts";
import type { WriteGuard } from "../core/store/write_guard.ts";

/**
 * How long an append to another stream may take after one has failed. A stream
 * that is served answers in far less, even from a slow store.
 */
const spareTimeoutMs = 300;

interface Parts {
  readonly store: Store;
  /** The streams to append to, the preferred one first; at least one. */
  readonly streams: readonly string[];
  /** When each stream was last read successfully. */
  readonly readAtMs: (stream: string) => number;
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly log: Logger;
}

/**
 * A store that appends to the first of several streams that accepts the rows,
 * for outages in which the store serves only some of its streams. Rows may end
 * up in more than one stream, so readers must ignore repeated keys.
 */
export class FailoverStore implements Store {
  /** When the last append to a stream failed, by stream. */
  readonly #failedAtMs = new Map<string, number>();

  constructor(readonly parts: Parts) {}

  /**
   * Appends the rows to a stream that accepts them, whichever stream is named.
   * The result is `unknown` if any stream may have stored them, and another
   * failure only if none has or will.
   */
  async append(
    _stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
    timeoutMs: number,
  ): Promise<StoreResult<AppendResult>> {
    const { store, streams } = this.parts;
    const [first = streams[0]!, ...others] = this.#healthyStreams();
    let result = await store.append(first, rows, guard, timeoutMs);
    this.#record(first, rows, result.isOk);
    for (const stream of others) {
      if (result.isOk || result.error.kind === "rejected") break;
      const wasUnknown = result.error.kind === "unknown";
      const spareMs = Math.min(timeoutMs, spareTimeoutMs);
      const next = await store.append(stream, rows, guard, spareMs);
      this.#record(stream, rows, next.isOk);
      if (next.isOk || !wasUnknown) result = next;
    }
    return result;
  }

  read(
    stream: string,
    from: number,
    waitMs: number,
  ): Promise<StoreResult<RowPage>> {
    return this.parts.store.read(stream, from, waitMs);
  }

  readNewest(
    stream: string,
    after: string | undefined,
  ): Promise<StoreResult<NewestPage>> {
    return this.parts.store.readNewest(stream, after);
  }

  /** The streams of which no append failed since they were last read. */
  #healthyStreams(): readonly string[] {
    const { streams, readAtMs } = this.parts;
    return streams.filter((stream) =>
      (this.#failedAtMs.get(stream) ?? -Infinity) < readAtMs(stream)
    );
  }

  #record(stream: string, rows: readonly Row[], isOk: boolean): void {
    if (!isOk) {
      this.#failedAtMs.set(stream, this.parts.clock.nowMs());
      return;
    }
    this.#failedAtMs.delete(stream);
    if (stream === this.parts.streams[0]) return;
    this.parts.metrics.count("submission_failovers");
    this.parts.log.info("submission_failover", { stream, rows: rows.length });
  }
}
