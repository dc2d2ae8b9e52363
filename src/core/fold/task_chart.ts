import { StateChart } from "../chart/state_chart.ts";
import type { TaskEvent } from "./task_event.ts";
import file from "./task_life.json" with { type: "json" };
import type { TaskState } from "./task_state.ts";

/** The states of a task and the events that change them. */
export const taskChart: StateChart<TaskState, TaskEvent> = new StateChart(file);
