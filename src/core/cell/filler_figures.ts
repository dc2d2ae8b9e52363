/** What placement of a filler needs to know about a worker, at one moment. */
export interface FillerFigures {
  /** The CPU demand of the worker's fillers, by image, as shares of capacity. */
  readonly demands: ReadonlyMap<string, number>;
  /** The CPU that the worker's fillers demand. */
  readonly demandedMilli: number;
  /** The CPU that other tasks leave to the fillers. */
  readonly unusedMilli: number;
  /** The services with a latency target. */
  readonly services: readonly ServiceFigures[];
}

interface ServiceFigures {
  readonly image: string;
  readonly callerLoad: number;
  readonly targetLoad: number;
  /** The pressures of the filler images in `demands`, in the same order. */
  readonly pressures: readonly number[];
}
