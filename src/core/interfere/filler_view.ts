/** A filler image beside services. */
export interface FillerView {
  readonly image: string;
  /** The part of the worker's processors that it uses. */
  readonly use: number;
}
