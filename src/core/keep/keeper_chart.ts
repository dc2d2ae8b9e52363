import { StateChart } from "../chart/state_chart.ts";
import file from "./keeper_life.json" with { type: "json" };
import type { KeeperState } from "./keeper_state.ts";

type KeeperTransition =
  | "KEEPER_SILENT"
  | "CAUGHT_UP"
  | "KEEPER_HEARD"
  | "NOT_ELIGIBLE"
  | "EPOCH_WON"
  | "EPOCH_LOST"
  | "APPEND_FAILED"
  | "SETTLED";

/** The states of a process in the election of a cell's keeper. */
export const keeperChart: StateChart<KeeperState, KeeperTransition> =
  new StateChart(
    file,
  );
