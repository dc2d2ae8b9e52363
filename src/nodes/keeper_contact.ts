/** How long a keeper's message that it cannot reach the store stays valid. */
const unsureValidMs = 1_000;

/** A connection of a keeper. */
interface Connected {
  readonly epoch: number;
}

/** What an entry has heard from keepers. Times are of its monotonic clock. */
export class KeeperContact {
  connectedAtMs = 0;
  /** The highest epoch of a keeper that has connected. */
  heardEpoch = 0;
  /** The connected keeper with the highest epoch. */
  #keeper: Connected | undefined;
  #unsureAtMs = -Infinity;
  /** The epoch of the newest keeper that has resigned. */
  #resignedEpoch = 0;
  #resignedAtMs = -Infinity;

  /** Records a keeper's connection; returns it, or a newer one that is known. */
  connect(epoch: number): Connected {
    const known = this.#keeper;
    if (known !== undefined && epoch < known.epoch) return known;
    this.heardEpoch = Math.max(this.heardEpoch, epoch);
    this.connectedAtMs = performance.now();
    this.#keeper = { epoch };
    return this.#keeper;
  }

  /** Records that a connection has closed. */
  disconnect(connected: Connected): void {
    if (this.#keeper === connected) this.#keeper = undefined;
  }

  recordUnsure(): void {
    this.#unsureAtMs = performance.now();
  }

  recordResigned(epoch: number): void {
    this.#keeper = undefined;
    this.#resignedEpoch = epoch;
    this.#resignedAtMs = performance.now();
  }

  /** Whether a keeper has told lately that it cannot reach the store. */
  isUnsure(nowMs: number): boolean {
    return nowMs - this.#unsureAtMs <= unsureValidMs;
  }

  /** Whether a keeper is connected that can reach the store. */
  isConnected(nowMs: number): boolean {
    return this.#keeper !== undefined && !this.isUnsure(nowMs);
  }

  /** Whether the keeper of the newest epoch resigned, for at least that long. */
  hasResigned(newestEpoch: number, minMs: number, nowMs: number): boolean {
    return this.#resignedEpoch >= newestEpoch &&
      nowMs - this.#resignedAtMs >= minMs;
  }
}
