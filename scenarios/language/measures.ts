import type { JobId } from "../../src/schema/job_id.ts";
import { tasksOf } from "../../src/core/fold/tasks_of.ts";
import type { Measure } from "./measure.ts";
import type { CellSimulation } from "../world/cell_simulation.ts";

/** Number of tasks in a state, of one job or of all. */
const countTasks = (
  simulation: CellSimulation,
  name: string,
  state: string,
): number => {
  const { truth } = simulation.log;
  const rows = name === "all"
    ? [...truth.tasks.values()]
    : [...tasksOf(truth, jobRow(simulation, name))];
  return rows.filter((task) => task.state === state).length;
};

const jobRow = (simulation: CellSimulation, name: string) => {
  const row = simulation.log.truth.jobs.get(name as JobId);
  if (row === undefined) throw new Error(`no job '${name}' was accepted`);
  return row;
};

const sumOf = (values: Iterable<number>): number =>
  [...values].reduce((total, value) => total + value, 0);

/** The values that `expect` statements can compare, by name. */
export const measures: Readonly<Record<string, Measure>> = {
  accepted: (simulation) => simulation.acceptedJobs.size,
  finished: (simulation, name) => countTasks(simulation, name, "finished"),
  failed: (simulation, name) => countTasks(simulation, name, "failed"),
  cancelled: (simulation, name) => countTasks(simulation, name, "cancelled"),
  waiting: (simulation, name) => countTasks(simulation, name, "waiting"),
  claimed: (simulation, name) => countTasks(simulation, name, "claimed"),
  unfinished: (simulation) =>
    sumOf([...simulation.log.truth.jobs.values()].map((row) => row.unfinished)),
  evictions: (simulation) =>
    sumOf(
      [...simulation.log.truth.tasks.values()].map((task) => task.evictions),
    ),
  reclaims: (simulation) => simulation.log.recordCounts.get("reclaimed") ?? 0,
  snapshots: (simulation) => simulation.log.recordCounts.get("snapshot") ?? 0,
  epoch: (simulation) => simulation.log.truth.epoch?.number ?? 0,
  attempts: (simulation, name) =>
    sumOf(
      [...tasksOf(simulation.log.truth, jobRow(simulation, name))].map((t) =>
        t.attempt
      ),
    ),
  voids: (simulation, name) => simulation.log.rejectionCounts.get(name) ?? 0,
  released: (simulation, name) => simulation.log.releaseCounts.get(name) ?? 0,
  "latency-p50": (simulation) => simulation.serviceMeter.latencyRatioAt(0.5),
  "latency-p99": (simulation) => simulation.serviceMeter.latencyRatioAt(0.99),
  actions: (simulation, name) => simulation.interferenceActions.get(name) ?? 0,
  "start-ms": (simulation, name) => {
    const atMs = simulation.log.firstClaimedAtMs.get(`${name}/0`) ?? Infinity;
    return atMs - (simulation.submittedAtMs.get(name as JobId) ?? 0);
  },
  starts: (simulation, name) =>
    simulation.workers.get(name)?.model.startCount ?? 0,
};
