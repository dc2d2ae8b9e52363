/** A service that shares a worker's machine, and its undisturbed latency. */
export interface SimService {
  readonly name: string;
  readonly baseLatencyMs: number;
}
