import type { PeerId } from "../../schema/peer_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { rendezvous } from "../hash/rendezvous.ts";
import { CandidateWatch } from "./candidate_watch.ts";
import type { KeeperOptions } from "./keeper_options.ts";

/** Decides which processes may follow the keeper, and in which order. */
export class Candidacy {
  readonly watch = new CandidateWatch();
  peers: readonly PeerId[] = [];

  constructor(readonly options: KeeperOptions) {}

  /** This process's place in the order in which processes take over. */
  rank(): number {
    const { cell, self } = this.options;
    return rendezvous(cell, this.#withSelf()).indexOf(self);
  }

  /** The candidates in office, without this process. */
  others(ledger: CellLedger): PeerId[] {
    const candidates = ledger.epoch?.candidates ?? [];
    return candidates.filter((peer) => peer !== this.options.self);
  }

  /** The candidates to name in a new epoch. */
  choose(nowMs: number): PeerId[] {
    const { self, cell, candidates } = this.options;
    const live = this.#withSelf().filter((peer) =>
      peer === self || !this.watch.isSilent(peer, nowMs)
    );
    const others = rendezvous(cell, live).filter((peer) => peer !== self);
    return [self, ...others.slice(0, candidates - 1)];
  }

  /** Whether the epoch should be renewed with the chosen candidates. */
  needsRenewal(
    ledger: CellLedger,
    chosen: readonly PeerId[],
    nowMs: number,
  ): boolean {
    const current = this.others(ledger);
    if (current.some((peer) => this.watch.isUnable(peer, nowMs))) return true;
    const missing = chosen.some((peer) =>
      peer !== this.options.self && !current.includes(peer)
    );
    const stale = current.length < this.options.candidates - 1 ||
      current.some((peer) => this.watch.isSilent(peer, nowMs));
    return missing && stale;
  }

  /** The record that begins the next epoch under this process. */
  epochRecord(
    ledger: CellLedger,
    candidates: readonly PeerId[],
    atMs: number,
  ): CellRecord {
    const number = (ledger.epoch?.number ?? 0) + 1;
    const { self: by, incarnation } = this.options;
    return { atMs, by, kind: "epoch", number, incarnation, candidates };
  }

  #withSelf(): PeerId[] {
    return [...new Set([this.options.self, ...this.peers])];
  }
}
