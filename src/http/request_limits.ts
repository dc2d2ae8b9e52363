/** Limits on what the clients of a process make it hold. */
export interface RequestLimits {
  /** Of all requests under way, with their bodies as held. */
  readonly heldBytes: number;
  /** Callers' connections to an entry. */
  readonly connections: number;
}
