import { systemClock } from "../adapters/system_clock.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { OperatorRead } from "../core/evacuate/operator_read.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";

const failurePauseMs = 100;

interface TailOptions {
  /** How long a read waits for a new row. */
  readonly waitMs: number;
  /** The pause between reads; 0 to receive each row at once. */
  readonly pauseMs: number;
}

/** A read of the newest row of each key, of which some pages have come. */
interface NewestRead {
  /** When its first page was requested. */
  readonly sent: OperatorRead;
  readonly keys: Set<string>;
  /** The end of the stream at the first page. */
  from: number | undefined;
  /** The key after which the next page begins. */
  after: string | undefined;
  /** Whether a row could not be read, so that `keys` may lack its key. */
  isPartial: boolean;
}

/**
 * Follows a stream: reads the newest row of each key first, then each row as it
 * is appended.
 */
export class StreamTail {
  /** Whether the first read has ended: all rows stored before are known. */
  isCaughtUp = false;
  /** Whether the last read has failed. */
  isUnreachable = false;
  /** When the last read succeeded. */
  readAtMs = 0;
  /**
   * When the newest read that reached the end of the stream was sent; it
   * returned every row that was acknowledged before.
   */
  completeRead: OperatorRead | undefined;
  /** Receives the keys of all rows at a read of the newest ones, and the end. */
  onSnapshot: (keys: ReadonlySet<string>, end: number) => void = () => {};
  /** When a read last returned new rows. */
  grewAtMs = 0;
  /** The highest end of the stream that a read has returned. */
  end = 0;
  #next: number | undefined;
  #newestRead: NewestRead | undefined;
  /** The attempt at `#newestRead` that is in progress. */
  #catchingUp: Promise<boolean> | undefined;
  #isStopped = false;
  /**
   * Offsets of the rows that `newest` returned, until sequential reads have
   * passed them: pages are no snapshot, so a read may return such rows again.
   */
  readonly #seen = new Map<string, number>();
  /** The highest offset in `#seen`. */
  #maxSeenOffset = -1;

  constructor(
    readonly store: Store,
    readonly stream: string,
    readonly options: TailOptions,
    readonly onRows: (rows: readonly StoredRow[]) => void,
    readonly log: Logger,
    readonly clock: Clock = systemClock,
  ) {}

  /** Reads the stream until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isRead = this.#next === undefined
        ? await this.#catchUp()
        : await this.#read(this.#next) !== "failed";
      if (!isRead) await this.clock.sleep(failurePauseMs);
      else if (this.options.pauseMs > 0) {
        await this.clock.sleep(this.options.pauseMs);
      }
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reads all rows stored so far without waiting; false if a read failed. */
  async refresh(): Promise<boolean> {
    while (!this.#isStopped) {
      const from = this.#next;
      if (from === undefined) {
        // It may have begun earlier, so what came since is still to be read.
        if (!await this.#catchUp()) return false;
        continue;
      }
      const outcome = await this.#read(from, 0);
      if (outcome === "failed") return false;
      const isRead = outcome === "read" && this.#next! >= this.end;
      if (isRead) return true;
    }
    return false;
  }

  /** Reads up to an offset without pauses; returns whether it was reached. */
  async readUntil(end: number): Promise<boolean> {
    if (this.#next === undefined && !await this.#catchUp()) return false;
    while (this.#next !== undefined && this.#next < end) {
      if (await this.#read(this.#next, 0) === "failed") return false;
    }
    return this.#next !== undefined;
  }

  /**
   * Reads the newest row of each key. Its callers share one attempt: attempts of
   * their own would fill the link, so that none of them succeeds.
   */
  #catchUp(): Promise<boolean> {
    this.#catchingUp ??= this.#readNewest().finally(() => {
      this.#catchingUp = undefined;
    });
    return this.#catchingUp;
  }

  /** Reads the pages that are missing; after a failure, the next call goes on. */
  async #readNewest(): Promise<boolean> {
    const read = this.#newestRead ??= {
      sent: this.#sentNow(),
      keys: new Set(),
      from: undefined,
      after: undefined,
      isPartial: false,
    };
    do {
      const page = await this.store.readNewest(this.stream, read.after);
      if (this.#isStopped) return false;
      if (page.isErr) {
        this.#recordFailure("newest", page.error.kind);
        return false;
      }
      this.isUnreachable = false;
      read.from ??= page.value.end;
      read.after = page.value.more;
      read.isPartial ||= page.value.unreadable > 0;
      for (const { key } of page.value.rows) read.keys.add(key);
      const newer = this.#deliver(page.value.rows);
      for (const { key, offset } of newer) {
        this.#seen.set(key, offset);
        this.#maxSeenOffset = Math.max(this.#maxSeenOffset, offset);
      }
    } while (read.after !== undefined);
    this.#newestRead = undefined;
    if (!read.isPartial) this.onSnapshot(read.keys, read.from);
    this.completeRead = read.sent;
    this.#next = read.from;
    this.end = Math.max(this.end, read.from);
    this.#recordSuccess(true);
    return true;
  }

  async #read(
    from: number,
    waitMs = this.#isReachable ? this.options.waitMs : 0,
  ): Promise<"read" | "overtaken" | "failed"> {
    const sent = this.#sentNow();
    const page = await this.store.read(this.stream, from, waitMs);
    if (this.#isStopped) return "failed";
    if (this.#next !== from) return "overtaken";
    if (page.isErr) {
      this.#recordFailure("read", page.error.kind);
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
    if (next >= end) this.completeRead = sent;
    if (next > this.#maxSeenOffset) this.#seen.clear();
    this.#recordSuccess(rows.length > 0);
    return "read";
  }

  /** Passes on the rows that are newer than those seen, and returns them. */
  #deliver(rows: readonly StoredRow[]): readonly StoredRow[] {
    const newer = rows.filter(({ key, offset }) =>
      offset > (this.#seen.get(key) ?? -1)
    );
    if (newer.length > 0) this.onRows(newer);
    return newer;
  }

  #sentNow(): OperatorRead {
    const { clock } = this;
    return { sentAtMs: clock.nowMs(), sentAtWallMs: clock.wallMs() };
  }

  #recordSuccess(hasGrown: boolean): void {
    const nowMs = this.clock.nowMs();
    if (this.readAtMs === 0 || !this.#isReachable) {
      this.log.info("store_reached", { stream: this.stream });
    }
    this.#isReachable = true;
    this.isUnreachable = false;
    this.readAtMs = nowMs;
    if (hasGrown) this.grewAtMs = nowMs;
    this.isCaughtUp = true;
  }

  #isReachable = false;

  #recordFailure(call: string, reason: string): void {
    if (this.#isReachable) {
      this.log.warn("store_unreached", { stream: this.stream, call, reason });
    }
    this.#isReachable = false;
    this.isUnreachable = true;
  }
}
