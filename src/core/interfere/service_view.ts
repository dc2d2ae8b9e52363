/** A service that fillers run beside. */
export interface ServiceView {
  /** Its latency as a part of its target. */
  readonly part: number;
  /** What its latency is of its target when it is idle. */
  readonly floor: number;
  /** How much each filler image presses on it, where known. */
  readonly pressures: ReadonlyMap<string, number>;
}
