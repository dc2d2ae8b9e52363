import { setTimeout as sleep } from "node:timers/promises";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";
import type { Predecessor } from "./predecessor.ts";
import type { ElectionRow } from "./election_row.ts";
import { WinnerRow } from "../schema/rows/winner_row.ts";
import { RowReader } from "./row_reader.ts";
import { StreamTail } from "./stream_tail.ts";
import { streams } from "./streams.ts";

/** How long a read of the stream waits for a new row. */
const readWaitMs = 3_000;
const appendTimeoutMs = 700;
/** The pause after a campaign whose append failed. */
const failurePauseMs = 100;
const cellKey = "cell";

/**
 * Elects the cell's keeper through a stream of the store. A candidate appends
 * its name on the condition that the stream has not grown since its last read;
 * the newest row names the keeper, and the row's offset plus one is the epoch.
 * The winner is learned from reads alone, so a lost or late answer to an append
 * changes nothing.
 */
export class Election {
  readonly tail: StreamTail;
  epoch = 0;
  winner: ElectionRow | undefined;
  /** The winner of the election just before, and its epoch, if known. */
  #previous:
    | { readonly epoch: number; readonly winner: ElectionRow }
    | undefined;
  onWinner: (epoch: number, winner: ElectionRow) => void = () => {};
  readonly #reader: RowReader;
  #isCampaigning = false;

  constructor(
    readonly store: Store,
    readonly self: ElectionRow,
    readonly log: Logger,
  ) {
    this.#reader = new RowReader(streams.epochs, log);
    const onRows = (rows: readonly StoredRow[]) => this.#applyRows(rows);
    const options = { waitMs: readWaitMs, pauseMs: 0 };
    this.tail = new StreamTail(store, streams.epochs, options, onRows, log);
  }

  /** Whether this incarnation of this process won the newest election. */
  get isWon(): boolean {
    return this.winnerKind === "self";
  }

  /**
   * The keeper before the newest one. An earlier process of this node had ended
   * when this one began, at 0 of its monotonic clock; a term of this process
   * ended when it learned of the newest election.
   */
  get predecessor(): Predecessor | undefined {
    if (this.#previous === undefined) {
      const none = { node: undefined, incarnation: undefined, endedAtMs: 0 };
      return this.epoch === 1 ? { epoch: 0, ...none } : undefined;
    }
    const { epoch, winner } = this.#previous;
    const endedAtMs = {
      other: undefined,
      self: performance.now(),
      earlier_self: 0,
    }[this.#kindOf(winner)];
    return { epoch, ...winner, endedAtMs };
  }

  /** Who won the newest election, relative to this process. */
  get winnerKind(): "none" | "other" | "self" | "earlier_self" {
    return this.winner === undefined ? "none" : this.#kindOf(this.winner);
  }

  #kindOf({ node, incarnation }: ElectionRow) {
    if (node !== this.self.node) return "other";
    return incarnation === this.self.incarnation ? "self" : "earlier_self";
  }

  /**
   * Runs for election. The append takes effect only if no other row has come
   * since the last read; the outcome shows in the tail.
   */
  async campaign(reason: string): Promise<void> {
    if (this.#isCampaigning) return;
    this.#isCampaigning = true;
    this.log.info("campaign", { reason, after_epoch: this.epoch });
    const rows = [{ key: cellKey, value: JSON.stringify(this.self) }];
    const guard = { kind: "at", end: this.tail.end } as const;
    const result = await this.store.append(
      streams.epochs,
      rows,
      guard,
      appendTimeoutMs,
    );
    if (result.isErr) {
      this.log.info("campaign_failed", { reason: result.error.kind });
      await sleep(failurePauseMs);
    }
    this.#isCampaigning = false;
  }

  #applyRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const { key, offset } = row;
      if (key !== cellKey) continue;
      const winner = this.#reader.read(WinnerRow, row);
      if (winner === undefined || offset < this.epoch) continue;
      // Between two rows that do not adjoin, another may have been elected.
      const isNext = this.winner !== undefined && offset === this.epoch;
      this.#previous = isNext
        ? { epoch: this.epoch, winner: this.winner! }
        : undefined;
      this.epoch = offset + 1;
      this.winner = winner;
      this.onWinner(this.epoch, winner);
    }
  }
}
