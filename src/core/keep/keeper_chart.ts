import { StateChart } from "../chart/state_chart.ts";
import file from "./keeper_life.json" with { type: "json" };
import type { KeeperState } from "./keeper_state.ts";

type KeeperStep =
  | "KEEPER_SILENT"
  | "CAUGHT_UP"
  | "KEEPER_HEARD"
  | "NOT_ELIGIBLE"
  | "EPOCH_WON"
  | "EPOCH_LOST"
  | "APPEND_FAILED"
  | "SETTLED";

/** The life of a process as keeper of a cell. */
export const keeperChart: StateChart<KeeperState, KeeperStep> = new StateChart(
  file,
);
