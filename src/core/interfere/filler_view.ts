/** A filler image beside services, in parts of the worker's processors. */
export interface FillerView {
  readonly image: string;
  readonly used: number;
  readonly asked: number;
}
