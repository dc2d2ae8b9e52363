import type { Clock } from "../core/clock/clock.ts";
import type { Row } from "../core/store/row.ts";
import { defaultStoreLimits } from "../core/store/default_store_limits.ts";
import { isStorable } from "../core/store/is_storable.ts";
import { rowBytes } from "../core/store/row_bytes.ts";
import type { StoreLimits } from "../core/store/store_limits.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";

const appendTimeoutMs = 700;
/** Without a confirmed append for this long, the store seems to be away. */
const unsureAfterMs = 1_200;
const retryPauseMs = 25;
/** An idle writer appends a heartbeat at this interval, to show it is alive. */
const heartbeatIntervalMs = 400;
/** The share of what the store accepts in an append that a batch uses. */
const batchShare = 0.5;

/** Receives the keys of the rows that the store will not take. */
type StoredCallback = (rejected: ReadonlySet<string>) => void;
type Outcome =
  | { readonly kind: "stored"; readonly end: number }
  | { readonly kind: "rejected" }
  | { readonly kind: "deposed" };

/**
 * The only writer of a stream in its epoch. Batches are appended one at a time
 * with sequence numbers, so that a retry when an answer was lost stores nothing
 * twice. A writer with a higher epoch fences this one off for good. A row that
 * the store rejects for good is left out, so that it holds up no other.
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
  #callbacks: StoredCallback[] = [];
  /** The keys whose last row was rejected. */
  readonly #rejectedKeys = new Set<string>();
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
    readonly limits: StoreLimits = defaultStoreLimits,
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
    while (!this.isDeposed) {
      const outcome = await this.#append([this.heartbeatRow()]);
      if (outcome.kind === "stored") return outcome.end;
      await this.clock.sleep(retryPauseMs);
    }
    return undefined;
  }

  /**
   * Stores rows; calls back once all rows written so far are stored, but for
   * those that the store rejects for good.
   */
  write(rows: readonly Row[], onStored: StoredCallback): void {
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
      const rejected = await this.#storeAll(rows);
      if (rejected === undefined) {
        this.#isBusy = false;
        return;
      }
      for (const onStored of callbacks) onStored(rejected);
    }
    this.#isBusy = false;
    if (this.isDeposed) return;
    this.#timer = setTimeout(() => {
      this.write([this.heartbeatRow()], () => {});
    }, heartbeatIntervalMs);
  }

  /** Returns the keys of the rows rejected for good; undefined if deposed. */
  async #storeAll(rows: readonly Row[]): Promise<Set<string> | undefined> {
    const rejected = new Set<string>();
    const fitting = rows.filter((row) => {
      if (isStorable(row, this.limits)) return true;
      rejected.add(row.key);
      this.#noteRejected(row, "too large");
      return false;
    });
    for (const batch of batches(fitting, this.limits.callBytes * batchShare)) {
      const outcome = await this.#append(batch);
      if (outcome.kind === "deposed") return undefined;
      // One row of a rejected batch is at fault, so each is then tried alone.
      const isRejected = outcome.kind === "rejected";
      for (const row of isRejected ? batch : []) {
        const alone = await this.#append([row]);
        if (alone.kind === "deposed") return undefined;
        if (alone.kind === "stored") continue;
        rejected.add(row.key);
        this.#noteRejected(row, "rejected");
      }
    }
    for (const { key } of rows) {
      if (!rejected.has(key)) this.#rejectedKeys.delete(key);
    }
    return rejected;
  }

  /** Logs a rejected row, once until a row of its key is stored. */
  #noteRejected(row: Row, reason: string): void {
    const { key } = row;
    if (this.#rejectedKeys.has(key)) return;
    this.#rejectedKeys.add(key);
    this.log.error("row_rejected", { key, reason, bytes: rowBytes(row) });
  }

  /** Retries until the rows are stored, rejected, or this writer is deposed. */
  async #append(rows: readonly Row[]): Promise<Outcome> {
    while (!this.isDeposed) {
      const sentAtMs = this.clock.nowMs();
      const sentAtWallMs = this.clock.wallMs();
      const { epoch } = this;
      const sequence = this.#sequence + 1;
      const result = await this.store.append(this.stream, rows, {
        kind: "writer",
        writer: this.stream,
        epoch,
        sequence,
      }, appendTimeoutMs);
      if (result.isOk) {
        this.confirmedAtMs = sentAtMs;
        this.confirmedAtWallMs = sentAtWallMs;
        this.#sequence = sequence;
        return { kind: "stored", end: result.value.end };
      }
      const { error } = result;
      if (error.kind === "fenced" || error.kind === "sequence") {
        // A sequence mismatch means that another writer uses this epoch too.
        this.depose(error.kind);
        return { kind: "deposed" };
      }
      if (error.kind === "rejected") return { kind: "rejected" };
      await this.clock.sleep(retryPauseMs);
    }
    return { kind: "deposed" };
  }
}

/** Splits rows into batches below a size. */
function* batches(rows: readonly Row[], maxBytes: number): Generator<Row[]> {
  let batch: Row[] = [];
  let size = 0;
  for (const row of rows) {
    const bytes = rowBytes(row);
    if (size + bytes > maxBytes && batch.length > 0) {
      yield batch;
      batch = [];
      size = 0;
    }
    batch.push(row);
    size += bytes;
  }
  if (batch.length > 0) yield batch;
}
