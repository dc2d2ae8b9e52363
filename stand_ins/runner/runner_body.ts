/** The body of a request: how the runner stand-in is to process it. */
export interface RunnerBody {
  /** Identifies the request in the counts of `/truth`. */
  readonly marker?: string;
  /** Processing time; drawn around the runner's mean if not given. */
  readonly workMs?: number;
  /** The runner answers with status 500. */
  readonly fails?: boolean;
}
