/** A service beside a worker, and its latency when nothing disturbs it. */
export interface SimService {
  readonly name: string;
  readonly baseMs: number;
}
