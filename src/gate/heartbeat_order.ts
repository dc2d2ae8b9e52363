/**
 * So many heartbeats in a row, each higher than the one before, outvote one of
 * a higher sequence number, which another program must have sent.
 */
const outvotingCount = 3;

/** Tells heartbeats of one life that arrive late from newer ones. */
export class HeartbeatOrder {
  #newest = -1;
  #lateCount = 0;
  #lastLate = -1;

  /** Whether a heartbeat is newer than those before; notes that it has come. */
  accepts(sequence: number): boolean {
    if (sequence >= this.#newest) this.#lateCount = 0;
    else {
      this.#lateCount = sequence > this.#lastLate ? this.#lateCount + 1 : 1;
      this.#lastLate = sequence;
      if (this.#lateCount < outvotingCount) return false;
      this.#lateCount = 0;
    }
    this.#lastLate = -1;
    this.#newest = sequence;
    return true;
  }
}
