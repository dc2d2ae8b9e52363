/** One sample of a service that runs beside fillers. */
export interface ServiceSample {
  /** Its latency relative to its target. */
  readonly part: number;
  /** Its latency when idle, relative to its target. */
  readonly floor: number;
  /** The known pressures of filler images on it. */
  readonly pressures: ReadonlyMap<string, number>;
}
