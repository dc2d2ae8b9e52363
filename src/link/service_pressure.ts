/** How the filler images on a worker interfere with one service image there. */
export interface ServicePressure {
  readonly service: string;
  /** The service's latency when idle, as a share of its target. */
  readonly floor: number;
  /** The load that a filler image adds, per share of the worker's CPUs used. */
  readonly fillers: readonly (readonly [image: string, pressure: number])[];
}
