import type { CellId } from "../../schema/cell_id.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { PeerInfo } from "./peer_info.ts";
import type { PeerRow } from "./peer_row.ts";

/** How long a peer counts as live: four intervals between announcements. */
const liveMs = 4_000;

/** The live peers of this process, with their last announcements. */
export class PeerTable {
  readonly #rows = new Map<PeerId, PeerRow>();
  /** Raised whenever a peer list that was sent earlier becomes stale. */
  version = 1;

  constructor(readonly selfId: PeerId) {}

  /** Records an announcement made `ageMs` ago, unless a later one is known. */
  put(peer: PeerInfo, ageMs: number, nowMs: number): void {
    if (peer.id === this.selfId) return;
    const heardAtMs = nowMs - ageMs;
    if (ageMs > liveMs) return;
    const known = this.#rows.get(peer.id);
    if (known !== undefined) {
      if (peer.startedAtMs < known.peer.startedAtMs) return;
      const isSameIncarnation = peer.incarnation === known.peer.incarnation;
      if (isSameIncarnation && heardAtMs < known.heardAtMs) return;
    }
    if (known === undefined || changesList(known.peer, peer)) this.version += 1;
    this.#rows.set(peer.id, { peer, heardAtMs });
  }

  /** Marks a peer as live because another process still lists it. */
  confirm(id: PeerId, incarnation: string, nowMs: number): void {
    const row = this.#rows.get(id);
    if (row?.peer.incarnation !== incarnation) return;
    const heardAtMs = Math.max(row.heardAtMs, nowMs);
    this.#rows.set(id, { peer: row.peer, heardAtMs });
  }

  /** Drops peers whose last announcement is too old. */
  expire(nowMs: number): void {
    for (const [id, row] of this.#rows) {
      if (nowMs - row.heardAtMs <= liveMs) continue;
      this.#rows.delete(id);
      this.version += 1;
    }
  }

  /** The last announcement of a live peer. */
  find(id: PeerId): PeerInfo | undefined {
    return this.#rows.get(id)?.peer;
  }

  /** Yields the live peers. */
  *liveRows(): Generator<PeerRow> {
    yield* this.#rows.values();
  }

  /** Yields the live peers of one role. */
  *withRole(role: PeerInfo["role"]): Generator<PeerInfo> {
    for (const { peer } of this.#rows.values()) {
      if (peer.role === role) yield peer;
    }
  }

  /** Yields the live sidecars of a cell. */
  *sidecarsIn(cell: CellId): Generator<PeerInfo> {
    for (const peer of this.withRole("sidecar")) {
      if (peer.cell === cell) yield peer;
    }
  }

  /** The keeper of a cell: the peer that announced the highest epoch. */
  keeperOf(cell: CellId): PeerInfo | undefined {
    let best: PeerInfo | undefined;
    for (const peer of this.sidecarsIn(cell)) {
      if (peer.keeper === undefined) continue;
      const bestEpoch = best?.keeper?.epoch ?? 0;
      if (peer.keeper.epoch > bestEpoch) best = peer;
    }
    return best;
  }

  /** The cells that have a live sidecar, sorted by name. */
  cells(): CellId[] {
    const cells = new Set<CellId>();
    for (const peer of this.withRole("sidecar")) {
      if (peer.cell !== undefined) cells.add(peer.cell);
    }
    return [...cells].sort();
  }
}

/** Whether a peer list that lacks this change is stale. */
function changesList(before: PeerInfo, after: PeerInfo): boolean {
  return before.incarnation !== after.incarnation ||
    before.state !== after.state ||
    before.keeper?.epoch !== after.keeper?.epoch ||
    before.runner?.service !== after.runner?.service ||
    before.worker?.endpoint.port !== after.worker?.endpoint.port;
}
