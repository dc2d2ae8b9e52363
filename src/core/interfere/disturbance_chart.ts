import { StateChart } from "../chart/state_chart.ts";
import file from "./disturbance_life.json" with { type: "json" };
import type { DisturbanceState } from "./disturbance_state.ts";

type DisturbanceEvent =
  | "DEGRADED"
  | "CLEARED"
  | "PERSISTED"
  | "MOVED"
  | "RECOVERED";

/** The escalation against a disturbance: throttle, move, then recover. */
export const disturbanceChart: StateChart<DisturbanceState, DisturbanceEvent> =
  new StateChart(file);
