import type { WorldOptions } from "../scenarios/world/world_options.ts";
import { jobFrom } from "../scenarios/language/job_from.ts";
import { World } from "../scenarios/world/world.ts";

const placers: readonly WorldOptions["placer"][] = [
  "spread-fit",
  "first-fit",
  "random-fit",
];
const sizes = [10, 64, 128];
const loadFromMs = 15_000;
const loadMs = 60_000;
const batchPerWorkerSecond = 0.5;
const urgentPerSecond = 1;

/** Compares placement policies on one load, by the size of the cell. */
function main(): void {
  for (const workers of sizes) {
    for (const placer of placers) measure(workers, placer);
  }
}

function measure(workers: number, placer: WorldOptions["placer"]): void {
  const startedMs = performance.now();
  const world = new World({
    seed: 1,
    workers,
    peers: 5,
    cores: 16,
    memoryGb: 60,
    accelerators: 0,
    racks: 4,
    placer,
    tickMs: 100,
    recordsPerSnapshot: 10_000,
    claimsPerSecond: 100,
  });
  world.invariants.checkEveryMs = 500;
  world.runUntil(loadFromMs);
  const before = world.log.model.appends;
  const bytesBefore = world.log.bytes;
  submitLoad(world, workers);
  world.runUntil(loadFromMs + loadMs);
  const appends = (world.log.model.appends - before) * 1_000 / loadMs;
  const { truth, kinds } = world.log;
  const tasks = [...truth.tasks.values()];
  const finished = tasks.filter(({ state }) => state === "finished").length;
  const starts = kinds.get("claimed") ?? 1;
  const evictions = tasks.reduce((sum, task) => sum + task.evictions, 0);
  console.log(
    [
      `workers=${workers}`,
      `policy=${placer}`,
      `finished=${finished}`,
      `startsPerSecond=${(starts * 1_000 / loadMs).toFixed(1)}`,
      `evictions=${evictions}`,
      `urgentStartMs ${percentiles(world, "urgent")}`,
      `batchStartMs ${percentiles(world, "batch")}`,
      `appendsPerSecond=${appends.toFixed(2)}`,
      `logBytesPerSecond=${
        ((world.log.bytes - bytesBefore) * 1_000 / loadMs).toFixed(0)
      }`,
      `overusedWorkerSeconds=${world.invariants.overusedSeconds.toFixed(0)}`,
      `tookS=${((performance.now() - startedMs) / 1_000).toFixed(0)}`,
    ].join(" "),
  );
}

/** Batch work of sizes that are often wrong, and now and then urgent work. */
function submitLoad(world: World, workers: number): void {
  const everyMs = 1_000 / (batchPerWorkerSecond * workers);
  let count = 0;
  for (let atMs = 0; atMs < loadMs; atMs += everyMs) {
    const n = count++;
    world.scheduler.after(
      atMs,
      () => submit(world, `batch${n}`, n, ["submit"]),
    );
  }
  for (let n = 0; n < loadMs / 1_000 * urgentPerSecond; n++) {
    const words = ["submit", "urgent"];
    world.scheduler.after(
      n * 1_000,
      () => submit(world, `urgent${n}`, n, words),
    );
  }
}

function submit(world: World, id: string, n: number, words: string[]): void {
  const args = new Map([
    ["template", `t${n % 7}`],
    ["tasks", "1"],
    ["run", `${4 + n % 13}s`],
    ["cpu", String(2 + n % 3)],
    ["memory", "2"],
    ["member", `m${n % 4}`],
    ["uses-cpu", String((2 + n % 3) * (n % 7 === 0 ? 2 : 0.8))],
  ]);
  world.submit(jobFrom(id, { line: 0, words, args }));
}

function percentiles(world: World, prefix: string): string {
  const waits = [...world.log.claimedAtMs]
    .filter(([task]) => task.startsWith(prefix))
    .map(([task, atMs]) => {
      const job = task.slice(0, task.indexOf("/"));
      return atMs - (world.submittedAtMs.get(job as never) ?? 0);
    })
    .sort((a, b) => a - b);
  const at = (part: number): string =>
    (waits[Math.floor((waits.length - 1) * part)] ?? NaN).toFixed(0);
  return `p50=${at(0.5)} p99=${at(0.99)} started=${waits.length}`;
}

main();
