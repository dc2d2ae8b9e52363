import { setTimeout as sleep } from "node:timers/promises";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";
import type { EpochRow } from "./epoch_row.ts";
import { parseJsonRow } from "./parse_json_row.ts";
import { StreamTail } from "./stream_tail.ts";
import { streams } from "./streams.ts";

const waitMs = 3_000;
const appendTimeoutMs = 700;
/** The pause after a campaign that did not go well. */
const pauseMs = 100;
const cellKey = "cell";

/**
 * Who keeps the cell. A candidate appends its name where the stream ends; the
 * offset of the newest row is the epoch. Who has won is told by reading alone,
 * so a lost or late answer to the append changes nothing.
 */
export class Election {
  readonly tail: StreamTail;
  epoch = 0;
  winner: EpochRow | undefined;
  onWinner: (epoch: number, winner: EpochRow) => void = () => {};
  #isCampaigning = false;

  constructor(
    readonly store: Store,
    readonly self: EpochRow,
    readonly log: Logger,
  ) {
    const take = (rows: readonly StoredRow[]) => this.#take(rows);
    const options = { waitMs, pauseMs: 0 };
    this.tail = new StreamTail(store, streams.epochs, options, take, log);
  }

  /** Whether the newest winner is this process in this life. */
  get isWon(): boolean {
    return this.winner?.node === this.self.node &&
      this.winner.incarnation === this.self.incarnation;
  }

  /** Who won last, as this process sees it. */
  get winnerIs(): "none" | "other" | "self" | "earlier_self" {
    if (this.winner === undefined) return "none";
    if (this.winner.node !== this.self.node) return "other";
    return this.isWon ? "self" : "earlier_self";
  }

  /** Stands for office, unless somebody else has done so meanwhile. */
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
      await sleep(pauseMs);
    }
    this.#isCampaigning = false;
  }

  #take(rows: readonly StoredRow[]): void {
    for (const { key, value, offset } of rows) {
      if (key !== cellKey || value === undefined) continue;
      const winner = parseJsonRow<EpochRow>(value, key, this.log);
      if (winner === undefined || offset < this.epoch) continue;
      this.epoch = offset + 1;
      this.winner = winner;
      this.onWinner(this.epoch, winner);
    }
  }
}
