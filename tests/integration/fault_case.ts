/** Faults of runners and of the connections to them. */
export interface FaultCase {
  readonly name: string;
  readonly proxy?: Record<string, unknown>;
  readonly runner?: Record<string, unknown>;
}
