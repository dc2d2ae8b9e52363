/** The stage of the response to a disturbance; see disturbance_life.json. */
export type DisturbanceState =
  | "normal"
  | "degraded"
  | "throttled"
  | "moving"
  | "recovering";
