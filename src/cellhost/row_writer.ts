import type { Clock } from "../core/clock/clock.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";

const appendTimeoutMs = 700;
/** Without a confirmed append for this long, the store seems to be away. */
const unsureAfterMs = 1_200;
const retryPauseMs = 25;
/** An idle writer appends a heartbeat at this interval, to show it is alive. */
const heartbeatIntervalMs = 400;
const maxBatchBytes = 1_000_000;

/**
 * The only writer of a stream in its epoch. Batches are appended one at a time
 * with sequence numbers, so that a retry when an answer was lost stores nothing
 * twice. A writer with a higher epoch fences this one off for good.
 */
export class RowWriter {
  /** When the last successful append was sent, by the monotonic clock. */
  confirmedAtMs = 0;
  /**
   * When the last successful append was sent, by the wall clock, which advances
   * while the machine is suspended.
   */
  confirmedAtWallMs = 0;
  isDeposed = false;
  readonly #rows = new Map<string, string | undefined>();
  #callbacks: (() => void)[] = [];
  #sequence = 0;
  #isBusy = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly epoch: number,
    readonly heartbeatRow: () => Row,
    readonly onDeposed: () => void,
    readonly clock: Clock,
    readonly log: Logger,
  ) {}

  /** Whether the store seems to be away, as the appends show. */
  isUnsure(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs >= unsureAfterMs;
  }

  /**
   * Takes over the stream: no append of an earlier epoch takes effect once this
   * has succeeded. Returns the stream's end, or undefined if deposed.
   */
  async takeOver(): Promise<number | undefined> {
    return await this.#append([this.heartbeatRow()]);
  }

  /** Stores rows; calls back once all rows written so far are stored. */
  write(rows: readonly Row[], onStored: () => void): void {
    for (const { key, value } of rows) this.#rows.set(key, value);
    this.#callbacks.push(onStored);
    void this.#drain();
  }

  /** Stops this writer because another has taken over. */
  depose(reason: string): void {
    if (this.isDeposed) return;
    this.log.warn("writer_deposed", { epoch: this.epoch, reason });
    this.close();
    this.onDeposed();
  }

  close(): void {
    this.isDeposed = true;
    clearTimeout(this.#timer);
  }

  async #drain(): Promise<void> {
    if (this.#isBusy || this.isDeposed) return;
    clearTimeout(this.#timer);
    this.#isBusy = true;
    while (!this.isDeposed && this.#callbacks.length > 0) {
      const callbacks = this.#callbacks;
      this.#callbacks = [];
      const rows = [...this.#rows].map(([key, value]) => ({ key, value }));
      this.#rows.clear();
      for (const batch of batches(rows)) {
        const end = await this.#append(batch);
        if (end === undefined) {
          this.#isBusy = false;
          return;
        }
      }
      for (const onStored of callbacks) onStored();
    }
    this.#isBusy = false;
    if (this.isDeposed) return;
    this.#timer = setTimeout(() => {
      this.write([this.heartbeatRow()], () => {});
    }, heartbeatIntervalMs);
  }

  /**
   * Retries until the rows are stored or this writer is deposed. Returns the
   * stream's end, or undefined if deposed.
   */
  async #append(rows: readonly Row[]): Promise<number | undefined> {
    this.#sequence += 1;
    while (!this.isDeposed) {
      const sentAtMs = this.clock.nowMs();
      const sentAtWallMs = this.clock.wallMs();
      const { epoch } = this;
      const result = await this.store.append(this.stream, rows, {
        kind: "writer",
        writer: this.stream,
        epoch,
        sequence: this.#sequence,
      }, appendTimeoutMs);
      if (result.isOk) {
        this.confirmedAtMs = sentAtMs;
        this.confirmedAtWallMs = sentAtWallMs;
        return result.value.end;
      }
      const { error } = result;
      if (error.kind === "fenced" || error.kind === "sequence") {
        // A sequence mismatch means that another writer uses this epoch too.
        this.depose(error.kind);
        return undefined;
      }
      await this.clock.sleep(retryPauseMs);
    }
    return undefined;
  }
}

function* batches(rows: readonly Row[]): Generator<Row[]> {
  let batch: Row[] = [];
  let size = 0;
  for (const row of rows) {
    const bytes = row.key.length + (row.value?.length ?? 0);
    if (size + bytes > maxBatchBytes && batch.length > 0) {
      yield batch;
      batch = [];
      size = 0;
    }
    batch.push(row);
    size += bytes;
  }
  if (batch.length > 0) yield batch;
}
