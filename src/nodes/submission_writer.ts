import { err } from "true-myth/result";
import type { Clock } from "../core/clock/clock.ts";
import type { AppendResult } from "../core/store/append_result.ts";
import type { Row } from "../core/store/row.ts";
import { rowBytes } from "../core/store/row_bytes.ts";
import type { Store } from "../core/store/store.ts";
import type { StoreResult } from "../core/store/store_result.ts";
import { UncertainKeys } from "./uncertain_keys.ts";

const appendTimeoutMs = 1_000;
/** After a failed append, one append is tried per interval of this length. */
const probeIntervalMs = 250;
/** The size of an append's rows: half of what the store accepts in a call. */
const maxBatchBytes = 1_000_000;

interface PendingRow {
  readonly row: Row;
  readonly done: (result: StoreResult<AppendResult>) => void;
}

/**
 * Appends callers' rows to a stream, one append at a time. Rows that arrive
 * meanwhile go out together in the next one, since a slow store executes the
 * appends to a stream one after the other.
 */
export class SubmissionWriter {
  #pending: PendingRow[] = [];
  #isBusy = false;
  #failedAtMs: number | undefined;
  readonly #uncertain = new UncertainKeys();

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly clock: Clock,
  ) {}

  /** Whether an append now would probably fail. */
  get isUnreachable(): boolean {
    if (this.#failedAtMs === undefined) return false;
    return this.#isBusy ||
      this.clock.nowMs() - this.#failedAtMs < probeIntervalMs;
  }

  /** Whether an unanswered append may have stored a row of the key. */
  mayHaveStored(key: string): boolean {
    return this.#uncertain.has(key);
  }

  /** Whether an append may store a row of the key from now on. */
  mayStillStore(key: string): boolean {
    return this.#uncertain.mayStillStore(key, this.clock.nowMs());
  }

  /** Stores a row; refused at once while the stream cannot be reached. */
  async append(row: Row): Promise<StoreResult<AppendResult>> {
    if (this.isUnreachable) return this.#refuse(row, "an append just failed");
    const result = new Promise<StoreResult<AppendResult>>((done) => {
      this.#pending.push({ row, done });
    });
    void this.#drain();
    return await result;
  }

  /** Fails a row: `unknown` if an earlier append may have stored it. */
  #refuse({ key }: Row, detail: string): StoreResult<AppendResult> {
    const kind = this.mayHaveStored(key) ? "unknown" : "refused";
    return err({ kind, detail });
  }

  #complete(
    { row, done }: PendingRow,
    result: StoreResult<AppendResult>,
  ): void {
    const outcome = result.match({
      Ok: () => "stored" as const,
      Err: ({ kind }) => kind === "unknown" ? kind : "failed" as const,
    });
    this.#uncertain.endAppend(row.key, outcome, this.clock.nowMs());
    done(
      result.isErr && result.error.kind === "refused"
        ? this.#refuse(row, result.error.detail)
        : result,
    );
  }

  async #drain(): Promise<void> {
    if (this.#isBusy) return;
    this.#isBusy = true;
    while (this.#pending.length > 0) {
      const batch = dequeueBatch(this.#pending);
      for (const { row } of batch) this.#uncertain.beginAppend(row.key);
      const result = await this.store.append(
        this.stream,
        batch.map(({ row }) => row),
        { kind: "none" },
        appendTimeoutMs,
      );
      this.#failedAtMs = result.isOk ? undefined : this.clock.nowMs();
      for (const pending of batch) this.#complete(pending, result);
      if (!result.isOk) this.#refusePending();
    }
    this.#isBusy = false;
  }

  /** Refuses the rows that were not sent, which cannot have been stored. */
  #refusePending(): void {
    for (const { row, done } of this.#pending.splice(0)) {
      done(this.#refuse(row, "an earlier append failed"));
    }
  }
}

/** Removes from the front of the queue the rows that fit in one append. */
function dequeueBatch(pending: PendingRow[]): PendingRow[] {
  let bytes = 0;
  let count = 0;
  for (const { row } of pending) {
    bytes += rowBytes(row);
    if (count > 0 && bytes > maxBatchBytes) break;
    count += 1;
  }
  return pending.splice(0, count);
}
