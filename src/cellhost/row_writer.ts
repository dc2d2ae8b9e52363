import type { Clock } from "../core/clock/clock.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";

const appendTimeoutMs = 700;
const retryPauseMs = 25;
/** An idle writer appends so often, so that others see it at work. */
const idleMs = 400;
const mostBatchBytes = 1_000_000;

/**
 * The one writer of a stream under its epoch. Rows are appended in batches, one
 * at a time and in sequence, so that a repeat after a lost answer changes
 * nothing, and so that a writer with a higher epoch ends this one for good.
 */
export class RowWriter {
  /** When the append that last went well was sent. */
  confirmedAtMs = 0;
  /** The same by the wall clock, which counts on while we are suspended. */
  confirmedAtWallMs = 0;
  isDeposed = false;
  readonly #rows = new Map<string, string | undefined>();
  #waiting: (() => void)[] = [];
  #sequence = 0;
  #isBusy = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly epoch: number,
    readonly beat: () => Row,
    readonly onDeposed: () => void,
    readonly clock: Clock,
    readonly log: Logger,
  ) {}

  /** Takes the stream over: no earlier writer's append is done after this. */
  async take(): Promise<number | undefined> {
    return await this.#append([this.beat()]);
  }

  /** Stores rows; `after` is called once all rows so far are stored. */
  write(rows: readonly Row[], after: () => void): void {
    for (const { key, value } of rows) this.#rows.set(key, value);
    this.#waiting.push(after);
    void this.#drain();
  }

  /** Another has taken over. */
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
    while (!this.isDeposed && this.#waiting.length > 0) {
      const waiting = this.#waiting;
      this.#waiting = [];
      const rows = [...this.#rows].map(([key, value]) => ({ key, value }));
      this.#rows.clear();
      for (const batch of batches(rows)) {
        const end = await this.#append(batch);
        if (end === undefined) {
          this.#isBusy = false;
          return;
        }
      }
      for (const after of waiting) after();
    }
    this.#isBusy = false;
    if (this.isDeposed) return;
    this.#timer = setTimeout(() => {
      this.write([this.beat()], () => {});
    }, idleMs);
  }

  /** Appends until it is done or this writer is deposed; gives the end. */
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
        // A sequence of ours that was passed means another holds our epoch.
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
    if (size + bytes > mostBatchBytes && batch.length > 0) {
      yield batch;
      batch = [];
      size = 0;
    }
    batch.push(row);
    size += bytes;
  }
  if (batch.length > 0) yield batch;
}
