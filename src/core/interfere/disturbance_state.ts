/** How far a worker's service is disturbed; see disturbance_life.json. */
export type DisturbanceState =
  | "calm"
  | "strained"
  | "throttled"
  | "moving"
  | "recovering";
