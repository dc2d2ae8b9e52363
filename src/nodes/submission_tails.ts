import type { Clock } from "../core/clock/clock.ts";
import type { Store } from "../core/store/store.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Logger } from "../adapters/logger.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";

/** How long a tail's read of the store waits for a new row. */
const tailWaitMs = 2_000;
/** Reads for callers at once; each takes a connection for each stream. */
const maxSharedReads = 8;

/** Follows all streams that hold jobs and cancellations. */
export class SubmissionTails {
  readonly #tails: readonly StreamTail[];
  readonly #sharedReads = new Set<Promise<boolean>>();
  #nextSharedRead: Promise<boolean> | undefined;

  constructor(
    store: Store,
    streams: readonly string[],
    onRows: (rows: readonly StoredRow[]) => void,
    log: Logger,
  ) {
    const options = { waitMs: tailWaitMs, pauseMs: 0 };
    this.#tails = streams.map((stream) =>
      new StreamTail(store, stream, options, onRows, log)
    );
  }

  /** Whether the rows stored before the first read of each stream are known. */
  get isCaughtUp(): boolean {
    return this.#tails.every(({ isCaughtUp }) => isCaughtUp);
  }

  /** Whether this holds for each stream that can be read, and for one at least. */
  get hasReadReachable(): boolean {
    return this.#tails.some(({ isCaughtUp }) => isCaughtUp) &&
      this.#tails.every((tail) => tail.isCaughtUp || tail.isUnreachable);
  }

  /** Whether the last read of a stream has failed. */
  get isUnreachable(): boolean {
    return this.#tails.some(({ isUnreachable }) => isUnreachable);
  }

  /**
   * How long ago, at most, each stream was read to its end; Infinity if one never
   * was. The monotonic clock may stop while the machine is suspended.
   */
  ageMs(clock: Clock): number {
    const ages = this.#tails.map(({ completeRead }) =>
      completeRead === undefined ? Infinity : Math.max(
        clock.nowMs() - completeRead.sentAtMs,
        clock.wallMs() - completeRead.sentAtWallMs,
      )
    );
    return Math.max(...ages);
  }

  /** The end of the preferred stream, as far as it was read. */
  get end(): number {
    return this.#tails[0]?.end ?? 0;
  }

  /** When a stream was last read successfully; -Infinity if it never was. */
  readAtMsOf(stream: string): number {
    const tail = this.#tails.find((each) => each.stream === stream);
    return tail?.isCaughtUp === true ? tail.readAtMs : -Infinity;
  }

  run(): void {
    for (const tail of this.#tails) void tail.run();
  }

  stop(): void {
    for (const tail of this.#tails) tail.stop();
  }

  /**
   * As `refresh`, for callers' requests: beyond some reads at once, requests
   * share the next one, which begins after each of them.
   */
  async refreshShared(): Promise<boolean> {
    if (this.#sharedReads.size < maxSharedReads) {
      return await this.#readShared();
    }
    this.#nextSharedRead ??= Promise.race(this.#sharedReads).then(() => {
      this.#nextSharedRead = undefined;
      return this.#readShared();
    });
    return await this.#nextSharedRead;
  }

  #readShared(): Promise<boolean> {
    const read = this.refresh().finally(() => this.#sharedReads.delete(read));
    this.#sharedReads.add(read);
    return read;
  }

  /**
   * Reads all rows stored so far, of all streams at once; returns whether every
   * stream could be read.
   */
  async refresh(): Promise<boolean> {
    const isRead = await Promise.all(
      this.#tails.map((tail) => tail.refresh()),
    );
    return isRead.every((isStreamRead) => isStreamRead);
  }
}
