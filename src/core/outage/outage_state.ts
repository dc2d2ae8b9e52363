/** What an entry assumes about the store. */
export interface OutageState {
  readonly scope:
    /** The store answers this entry. */
    | "none"
    /** The store does not answer this entry, but perhaps others. */
    | "partial"
    /** The keeper cannot reach the store either. */
    | "full";
  /** How long the store has not answered; 0 without an outage. */
  readonly ageMs: number;
  /** How much longer the outage is expected to last. */
  readonly remainingMs: number;
  /** Within which time it ends in most cases. */
  readonly mostRemainingMs: number;
}
