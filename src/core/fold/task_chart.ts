import { Chart } from "../chart/chart.ts";
import type { TaskEvent } from "./task_event.ts";
import file from "./task_life.json" with { type: "json" };
import type { TaskState } from "./task_state.ts";

/** The states of a task and the events that change them. */
export const taskChart: Chart<TaskState, TaskEvent> = new Chart(file);
