/** Why a submission was refused. It was not stored and will not be. */
export type RefusalReason =
  /** The store is expected back too late for this caller. */
  | "store_outage"
  /** The store turns this entry away, but perhaps not the others. */
  | "partial_outage"
  /** The store was not back by the end of the hold. */
  | "hold_expired"
  /** Too many submissions are held already. */
  | "hold_full"
  /** The store answers but does not take the row. */
  | "store_refusal"
  /** The caller closed its connection before the row was sent. */
  | "withdrawn"
  /** The job cannot end in time for lack of capacity. */
  | "overload";
