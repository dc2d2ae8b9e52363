/** A service that fillers run beside. */
export interface ServiceView {
  /** Its latency as a part of its target. */
  readonly part: number;
  /** How much each filler image presses on it, where known. */
  readonly pressures: ReadonlyMap<string, number>;
}
