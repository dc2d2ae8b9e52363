import { Chart } from "../chart/chart.ts";
import file from "./disturbance_life.json" with { type: "json" };
import type { DisturbanceState } from "./disturbance_state.ts";

type DisturbanceEvent =
  | "STRAINED"
  | "EASED"
  | "PERSISTED"
  | "MOVED"
  | "RECOVERED";

/** The steps against a disturbance. */
export const disturbanceChart: Chart<DisturbanceState, DisturbanceEvent> =
  new Chart(file);
