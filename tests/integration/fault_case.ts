/** Faults of runners and of the connections to them. */
export interface FaultCase {
  readonly name: string;
  readonly proxy?: Record<string, unknown>;
  /** Between entries and sidecars. */
  readonly sidecar?: Record<string, unknown>;
  readonly runner?: Record<string, unknown>;
}
