import type { JobId } from "../../src/schema/job_id.ts";
import { tasksOf } from "../../src/core/fold/tasks_of.ts";
import type { Measure } from "./measure.ts";
import type { World } from "../world/world.ts";

const countTasks = (world: World, name: string, state: string): number => {
  const { truth } = world.log;
  const rows = name === "all"
    ? [...truth.tasks.values()]
    : [...tasksOf(truth, rowOf(world, name))];
  return rows.filter((task) => task.state === state).length;
};

const rowOf = (world: World, name: string) => {
  const row = world.log.truth.jobs.get(name as JobId);
  if (row === undefined) throw new Error(`no job '${name}' was accepted`);
  return row;
};

const sum = (values: Iterable<number>): number =>
  [...values].reduce((total, value) => total + value, 0);

/** The figures that scenarios may put bounds on. */
export const measures: Readonly<Record<string, Measure>> = {
  accepted: (world) => world.accepted.size,
  finished: (world, name) => countTasks(world, name, "finished"),
  failed: (world, name) => countTasks(world, name, "failed"),
  cancelled: (world, name) => countTasks(world, name, "cancelled"),
  waiting: (world, name) => countTasks(world, name, "waiting"),
  claimed: (world, name) => countTasks(world, name, "claimed"),
  unfinished: (world) =>
    sum([...world.log.truth.jobs.values()].map((row) => row.unfinished)),
  evictions: (world) =>
    sum([...world.log.truth.tasks.values()].map((task) => task.evictions)),
  reclaims: (world) => world.log.kinds.get("reclaimed") ?? 0,
  snapshots: (world) => world.log.kinds.get("snapshot") ?? 0,
  epoch: (world) => world.log.truth.epoch?.number ?? 0,
  attempts: (world, name) =>
    sum(
      [...tasksOf(world.log.truth, rowOf(world, name))].map((t) => t.attempt),
    ),
  voids: (world, name) => world.log.voids.get(name) ?? 0,
  released: (world, name) => world.log.releases.get(name) ?? 0,
  "latency-p50": (world) => world.services.percentile(0.5),
  "latency-p99": (world) => world.services.percentile(0.99),
  actions: (world, name) => world.actions.get(name) ?? 0,
  "start-ms": (world, name) => {
    const atMs = world.log.claimedAtMs.get(`${name}/0`) ?? Infinity;
    return atMs - (world.submittedAtMs.get(name as JobId) ?? 0);
  },
  starts: (world, name) => world.workers.get(name)?.model.starts ?? 0,
};
