import { err } from "true-myth/result";
import type { Clock } from "../core/clock/clock.ts";
import type { Appended } from "../core/store/appended.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";
import type { StoreResult } from "../core/store/store_result.ts";

const appendTimeoutMs = 1_000;
/** After a failure the stream is tried again with one append this often. */
const tryAgainMs = 250;
/** Rows of one append; what the store takes in one call is twice that. */
const mostBatchBytes = 1_000_000;
const mostUncertain = 10_000;

interface Waiting {
  readonly row: Row;
  readonly done: (result: StoreResult<Appended>) => void;
}

/**
 * Appends what callers hand in, one append at a time with all that came
 * meanwhile, since a slow store does appends to a stream one after the other.
 */
export class SubmissionWriter {
  #waiting: Waiting[] = [];
  #isBusy = false;
  #failedAtMs: number | undefined;
  /** Keys of rows that an append without answer may have stored. */
  readonly #uncertain = new Set<string>();

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly clock: Clock,
  ) {}

  /** Whether an append now would most likely fail. */
  get isAway(): boolean {
    if (this.#failedAtMs === undefined) return false;
    return this.#isBusy || this.clock.nowMs() - this.#failedAtMs < tryAgainMs;
  }

  /** Whether an append without answer may have stored the key. */
  mayHave(key: string): boolean {
    return this.#uncertain.has(key);
  }

  /** Stores a row; `refused` at once while the stream is away. */
  async append(row: Row): Promise<StoreResult<Appended>> {
    if (this.isAway) return this.#refuse(row, "the stream was away just now");
    const result = new Promise<StoreResult<Appended>>((done) => {
      this.#waiting.push({ row, done });
    });
    void this.#drain();
    return await result;
  }

  /** A row that an earlier append may have stored is not said to be refused. */
  #refuse({ key }: Row, detail: string): StoreResult<Appended> {
    const kind = this.mayHave(key) ? "unknown" : "refused";
    return err({ kind, detail });
  }

  #settle({ row, done }: Waiting, result: StoreResult<Appended>): void {
    const { key } = row;
    if (result.isOk) this.#uncertain.delete(key);
    else if (result.error.kind === "unknown") this.#noteUncertain(key);
    done(
      result.isErr && result.error.kind === "refused"
        ? this.#refuse(row, result.error.detail)
        : result,
    );
  }

  #noteUncertain(key: string): void {
    const [oldest] = this.#uncertain;
    if (this.#uncertain.size >= mostUncertain && oldest !== undefined) {
      this.#uncertain.delete(oldest);
    }
    this.#uncertain.add(key);
  }

  async #drain(): Promise<void> {
    if (this.#isBusy) return;
    this.#isBusy = true;
    while (this.#waiting.length > 0) {
      const batch = takeBatch(this.#waiting);
      const result = await this.store.append(
        this.stream,
        batch.map(({ row }) => row),
        { kind: "none" },
        appendTimeoutMs,
      );
      this.#failedAtMs = result.isOk ? undefined : this.clock.nowMs();
      for (const waiting of batch) this.#settle(waiting, result);
      if (!result.isOk) this.#refuseWaiting();
    }
    this.#isBusy = false;
  }

  /** What was not sent is surely not stored. */
  #refuseWaiting(): void {
    for (const { row, done } of this.#waiting.splice(0)) {
      done(this.#refuse(row, "an append before it failed"));
    }
  }
}

/** Takes what fits in one append from the front of the line. */
function takeBatch(waiting: Waiting[]): Waiting[] {
  let bytes = 0;
  let count = 0;
  for (const { row } of waiting) {
    bytes += row.key.length + (row.value?.length ?? 0);
    if (count > 0 && bytes > mostBatchBytes) break;
    count += 1;
  }
  return waiting.splice(0, count);
}
