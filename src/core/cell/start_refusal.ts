/** Why a run was certainly not started. */
export type StartRefusal =
  /** The runner has had this run of the task, or a later one. */
  | "old"
  /** The command arrived after its lease had expired. */
  | "late"
  | "no_room"
  /** The advisor's ticket is missing or no longer valid. */
  | "ticket"
  /** The runner does not accept starts at present. */
  | "unhealthy"
  /** The command was for an earlier life of the runner. */
  | "other_life"
  | "draining"
  /** The runner's data centre is evacuated. */
  | "evacuated"
  /** The runner rejected the command as malformed. */
  | "rejected";
