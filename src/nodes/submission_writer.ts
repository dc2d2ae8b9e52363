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

  /** Stores a row; `refused` at once while the stream is away. */
  async append(row: Row): Promise<StoreResult<Appended>> {
    if (this.isAway) {
      return err({ kind: "refused", detail: "the stream was away just now" });
    }
    const result = new Promise<StoreResult<Appended>>((done) => {
      this.#waiting.push({ row, done });
    });
    void this.#drain();
    return await result;
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
      for (const { done } of batch) done(result);
      if (!result.isOk) this.#refuseWaiting();
    }
    this.#isBusy = false;
  }

  /** What was not sent is surely not stored. */
  #refuseWaiting(): void {
    for (const { done } of this.#waiting.splice(0)) {
      done(err({ kind: "refused", detail: "an append before it failed" }));
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
