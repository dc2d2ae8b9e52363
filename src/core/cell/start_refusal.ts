/** Why a run was surely not started. */
export type StartRefusal =
  /** A run of the task as high as this has been there. */
  | "old"
  /** The lease that the order carried has passed. */
  | "late"
  | "no_room"
  /** The advisor's ticket is missing or no longer good. */
  | "ticket"
  /** The runner does not start anything now. */
  | "unhealthy"
  /** The order was for an earlier life of the runner. */
  | "other_life"
  | "draining"
  /** The runner calls the order malformed. */
  | "rejected";
