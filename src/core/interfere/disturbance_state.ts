/** How far the response to a disturbance is; see disturbance_life.json. */
export type DisturbanceState =
  | "normal"
  | "degraded"
  | "throttled"
  | "moving"
  | "recovering";
