/** What a request's body may ask of the runner stand-in. */
export interface RunnerBody {
  /** Names the request in the runner's truth. */
  readonly marker?: string;
  readonly workMs?: number;
  readonly fails?: boolean;
}
