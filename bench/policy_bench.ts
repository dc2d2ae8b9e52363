import type { CellSimulationOptions } from "../scenarios/world/cell_simulation_options.ts";
import { buildJob } from "../scenarios/language/build_job.ts";
import { CellSimulation } from "../scenarios/world/cell_simulation.ts";

const placers: readonly CellSimulationOptions["placer"][] = [
  "spread-fit",
  "first-fit",
  "random-fit",
];
const sizes = [10, 64, 128];
const loadStartMs = 15_000;
const loadMs = 60_000;
const batchPerWorkerSecond = 0.5;
const urgentPerSecond = 1;

/** Compares placement policies under the same load, by size of the cell. */
function main(): void {
  for (const workers of sizes) {
    for (const placer of placers) measure(workers, placer);
  }
}

function measure(
  workers: number,
  placer: CellSimulationOptions["placer"],
): void {
  const startedMs = performance.now();
  const simulation = new CellSimulation({
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
  simulation.invariants.checkIntervalMs = 500;
  simulation.runUntil(loadStartMs);
  const appendsBefore = simulation.log.model.appendCount;
  const bytesBefore = simulation.log.recordBytes;
  scheduleLoad(simulation, workers);
  simulation.runUntil(loadStartMs + loadMs);
  const appends = (simulation.log.model.appendCount - appendsBefore) * 1_000 /
    loadMs;
  const { truth, recordCounts: kinds } = simulation.log;
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
      `urgentStartMs ${startPercentiles(simulation, "urgent")}`,
      `batchStartMs ${startPercentiles(simulation, "batch")}`,
      `appendsPerSecond=${appends.toFixed(2)}`,
      `logBytesPerSecond=${
        ((simulation.log.recordBytes - bytesBefore) * 1_000 / loadMs).toFixed(0)
      }`,
      `overusedWorkerSeconds=${
        simulation.invariants.cpuOveruseSeconds.toFixed(0)
      }`,
      `tookS=${((performance.now() - startedMs) / 1_000).toFixed(0)}`,
    ].join(" "),
  );
}

/**
 * Schedules batch jobs and one urgent job a second. Every seventh job uses
 * twice the CPU that it declares, the others 80 % of it.
 */
function scheduleLoad(simulation: CellSimulation, workers: number): void {
  const batchIntervalMs = 1_000 / (batchPerWorkerSecond * workers);
  let count = 0;
  for (let atMs = 0; atMs < loadMs; atMs += batchIntervalMs) {
    const n = count++;
    simulation.eventQueue.after(
      atMs,
      () => submitJob(simulation, `batch${n}`, n, ["submit"]),
    );
  }
  for (let n = 0; n < loadMs / 1_000 * urgentPerSecond; n++) {
    const words = ["submit", "urgent"];
    simulation.eventQueue.after(
      n * 1_000,
      () => submitJob(simulation, `urgent${n}`, n, words),
    );
  }
}

function submitJob(
  simulation: CellSimulation,
  id: string,
  n: number,
  words: string[],
): void {
  const args = new Map([
    ["template", `t${n % 7}`],
    ["tasks", "1"],
    ["run", `${4 + n % 13}s`],
    ["cpu", String(2 + n % 3)],
    ["memory", "2"],
    ["member", `m${n % 4}`],
    ["uses-cpu", String((2 + n % 3) * (n % 7 === 0 ? 2 : 0.8))],
  ]);
  simulation.submit(buildJob(id, { line: 0, words, args }));
}

function startPercentiles(simulation: CellSimulation, prefix: string): string {
  const waits = [...simulation.log.firstClaimedAtMs]
    .filter(([task]) => task.startsWith(prefix))
    .map(([task, atMs]) => {
      const job = task.slice(0, task.indexOf("/"));
      return atMs - (simulation.submittedAtMs.get(job as never) ?? 0);
    })
    .sort((a, b) => a - b);
  const quantile = (share: number): string =>
    (waits[Math.floor((waits.length - 1) * share)] ?? NaN).toFixed(0);
  return `p50=${quantile(0.5)} p99=${quantile(0.99)} started=${waits.length}`;
}

main();
