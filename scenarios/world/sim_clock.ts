/** A process's monotonic clock, with its own offset and drift. */
export class SimClock {
  constructor(readonly offsetMs: number, readonly rate: number) {}

  /** The reading of the clock at a virtual time. */
  at(nowMs: number): number {
    return this.offsetMs + nowMs * this.rate;
  }
}
