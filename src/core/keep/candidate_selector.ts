import type { PeerId } from "../../schema/peer_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import { rendezvousOrder } from "../hash/rendezvous_order.ts";
import { CandidateMonitor } from "./candidate_monitor.ts";
import type { KeeperOptions } from "./keeper_options.ts";

/** Selects the candidates that may become the next keeper, and ranks them. */
export class CandidateSelector {
  readonly monitor = new CandidateMonitor();
  peers: readonly PeerId[] = [];

  constructor(readonly options: KeeperOptions) {}

  /** Position of this process in the takeover order; 0 campaigns first. */
  takeoverRank(): number {
    const { cell, self } = this.options;
    return rendezvousOrder(cell, this.#peersAndSelf()).indexOf(self);
  }

  /** The candidates of the current epoch, without this process. */
  others(ledger: CellLedger): PeerId[] {
    const candidates = ledger.epoch?.candidates ?? [];
    return candidates.filter((peer) => peer !== this.options.self);
  }

  /** Chooses the candidates for a new epoch: this process and live peers. */
  choose(nowMs: number): PeerId[] {
    const { self, cell, candidates } = this.options;
    const live = this.#peersAndSelf().filter((peer) =>
      peer === self || !this.monitor.isSilent(peer, nowMs)
    );
    const others = rendezvousOrder(cell, live).filter((peer) => peer !== self);
    return [self, ...others.slice(0, candidates - 1)];
  }

  /**
   * Whether the keeper should start a new epoch with the chosen candidates:
   * when a current one refuses to pledge, or a missing one can replace a gap
   * or a silent one.
   */
  needsRenewal(
    ledger: CellLedger,
    chosen: readonly PeerId[],
    nowMs: number,
  ): boolean {
    const current = this.others(ledger);
    if (current.some((peer) => this.monitor.refuses(peer, nowMs))) return true;
    const hasMissing = chosen.some((peer) =>
      peer !== this.options.self && !current.includes(peer)
    );
    const hasGap = current.length < this.options.candidates - 1 ||
      current.some((peer) => this.monitor.isSilent(peer, nowMs));
    return hasMissing && hasGap;
  }

  /** Builds the record that starts an epoch with this process as keeper. */
  buildEpochRecord(
    ledger: CellLedger,
    candidates: readonly PeerId[],
    atMs: number,
  ): CellRecord {
    const number = (ledger.epoch?.number ?? 0) + 1;
    const { self: by, incarnation } = this.options;
    return { atMs, by, kind: "epoch", number, incarnation, candidates };
  }

  #peersAndSelf(): PeerId[] {
    return [...new Set([this.options.self, ...this.peers])];
  }
}
