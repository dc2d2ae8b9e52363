/** A monotonic clock with an offset and a rate error of its own. */
export class SimClock {
  constructor(readonly offsetMs: number, readonly rate: number) {}

  /** What the clock shows at the virtual time. */
  at(nowMs: number): number {
    return this.offsetMs + nowMs * this.rate;
  }
}
