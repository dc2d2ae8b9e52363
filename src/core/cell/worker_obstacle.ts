/** Why a worker does not take a task. */
export type WorkerObstacle =
  | "not_reporting"
  | "other_pool"
  | "down"
  | "draining"
  | "evacuated"
  | "suspended"
  | "avoided_for_speed"
  | "label"
  | "too_many_of_step"
  | "no_room"
  | "isolated_start"
  | "reserved_quiet"
  | "others_starting"
  | "starts_pending"
  | "no_ticket"
  | "no_processors"
  | "disturbs_services";
