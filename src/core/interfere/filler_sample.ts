/** What the fillers of one image use and request of a worker's processors. */
export interface FillerSample {
  readonly image: string;
  /** Share of the worker's processors in use. */
  readonly used: number;
  /** Share that they would use at full pace. */
  readonly asked: number;
}
