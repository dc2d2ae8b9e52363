import { setTimeout as sleep } from "node:timers/promises";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";

const failurePauseMs = 100;

interface TailOptions {
  /** How long a read waits for a row. */
  readonly waitMs: number;
  /** The pause between reads; 0 to hear of each row at once. */
  readonly pauseMs: number;
}

/** Follows a stream: its newest rows first, then each row as it comes. */
export class StreamTail {
  /** The first read is over: all that was stored before it is known. */
  isCaughtUp = false;
  /** When a read last ended well. */
  readAtMs = 0;
  /** When the stream was last seen to grow. */
  grewAtMs = 0;
  end = 0;
  #next: number | undefined;
  #isStopped = false;
  /** Offsets of rows from the newest pages, until reading has passed them. */
  readonly #seen = new Map<string, number>();
  /** The highest of them. */
  #seenUpTo = -1;

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly options: TailOptions,
    readonly onRows: (rows: readonly StoredRow[]) => void,
    readonly log: Logger,
  ) {}

  /** Follows the stream until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isFine = this.#next === undefined
        ? await this.#catchUp()
        : await this.#read(this.#next) !== "failed";
      if (!isFine) await sleep(failurePauseMs);
      else if (this.options.pauseMs > 0) await sleep(this.options.pauseMs);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reads all that has been stored by now; tells whether it could. */
  async refresh(): Promise<boolean> {
    while (!this.#isStopped) {
      const from = this.#next;
      if (from === undefined) return await this.#catchUp();
      const outcome = await this.#read(from, 0);
      if (outcome !== "overtaken") return outcome === "read";
    }
    return false;
  }

  /** Reads on until the offset, whatever the pace; tells whether it got there. */
  async reach(end: number): Promise<boolean> {
    if (this.#next === undefined && !await this.#catchUp()) return false;
    while (this.#next !== undefined && this.#next < end) {
      if (await this.#read(this.#next, 0) === "failed") return false;
    }
    return this.#next !== undefined;
  }

  async #catchUp(): Promise<boolean> {
    let from: number | undefined;
    let after: string | undefined;
    do {
      const page = await this.store.newest(this.stream, after);
      if (this.#isStopped) return false;
      if (page.isErr) {
        this.#failed("newest", page.error.kind);
        return false;
      }
      from ??= page.value.end;
      after = page.value.more;
      const fresh = this.#deliver(page.value.rows);
      for (const { key, offset } of fresh) {
        this.#seen.set(key, offset);
        this.#seenUpTo = Math.max(this.#seenUpTo, offset);
      }
    } while (after !== undefined);
    this.#next ??= from;
    this.end = Math.max(this.end, from ?? 0);
    this.#succeeded(true);
    return true;
  }

  async #read(
    from: number,
    waitMs = this.#isFine ? this.options.waitMs : 0,
  ): Promise<"read" | "overtaken" | "failed"> {
    const page = await this.store.read(this.stream, from, waitMs);
    if (this.#isStopped) return "failed";
    if (this.#next !== from) return "overtaken";
    if (page.isErr) {
      this.#failed("read", page.error.kind);
      if (page.error.kind !== "trimmed") return "failed";
      this.#next = undefined;
      return "overtaken";
    }
    const { rows, next, end, unreadable } = page.value;
    if (unreadable > 0) {
      this.log.warn("rows_unreadable", { stream: this.stream, unreadable });
    }
    this.#next = next;
    this.end = Math.max(this.end, end);
    this.#deliver(rows);
    if (next > this.#seenUpTo) this.#seen.clear();
    this.#succeeded(rows.length > 0);
    return "read";
  }

  /** Hands on what is newer than was seen; gives that. */
  #deliver(rows: readonly StoredRow[]): readonly StoredRow[] {
    const fresh = rows.filter(({ key, offset }) =>
      offset > (this.#seen.get(key) ?? -1)
    );
    if (fresh.length > 0) this.onRows(fresh);
    return fresh;
  }

  #succeeded(hasGrown: boolean): void {
    const nowMs = performance.now();
    if (this.readAtMs === 0 || !this.#isFine) {
      this.log.info("store_reached", { stream: this.stream });
    }
    this.#isFine = true;
    this.readAtMs = nowMs;
    if (hasGrown) this.grewAtMs = nowMs;
    this.isCaughtUp = true;
  }

  #isFine = false;

  #failed(call: string, reason: string): void {
    if (this.#isFine) {
      this.log.warn("store_unreached", { stream: this.stream, call, reason });
    }
    this.#isFine = false;
  }
}
