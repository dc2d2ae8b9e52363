import { interferenceOptionsFor } from "../src/core/interfere/interference_options_for.ts";
import { buildJob } from "../scenarios/language/build_job.ts";
import { CellSimulation } from "../scenarios/world/cell_simulation.ts";

const workers = 12;
const serviceWorkers = 6;
/** Virtual time at which the load starts. */
const loadStartMs = 15_000;
const loadDurationMs = 600_000;
const submitIntervalMs = 650;
/** Length of a wave; in every other one, half of the jobs are noisy. */
const waveMs = 60_000;
/** A ratio that no latency reaches, so that no action is taken. */
const unreachable = 1e9;

interface Policy {
  readonly name: string;
  readonly latencyWeight: number;
  readonly evictionWeight: number;
  readonly strainedRatio?: number;
}

const policies: readonly Policy[] = [
  {
    name: "none",
    latencyWeight: 1,
    evictionWeight: 0,
    strainedRatio: unreachable,
  },
  { name: "seniors-lunch", latencyWeight: 0.9, evictionWeight: 0.1 },
  { name: "plating-line", latencyWeight: 0.6, evictionWeight: 0.4 },
];

/**
 * Measures a service beside noisy batch work that comes in waves, without and
 * with actions against interference.
 */
function main(): void {
  for (const policy of policies) measure(policy);
}

function measure(policy: Policy): void {
  const simulation = new CellSimulation({
    seed: 1,
    workers,
    peers: 3,
    cores: 16,
    memoryGb: 60,
    accelerators: 0,
    racks: 4,
    placer: "spread-fit",
    tickMs: 100,
    recordsPerSnapshot: 10_000,
    claimsPerSecond: 40,
  });
  simulation.invariants.checkIntervalMs = 500;
  configure(simulation, policy);
  simulation.runUntil(loadStartMs);
  submitWaves(simulation);
  simulation.serviceMeter.latencyRatios.length = 0;
  simulation.runUntil(loadStartMs + loadDurationMs);
  const { log } = simulation;
  const finished = log.recordCounts.get("finished") ?? 0;
  const evictions = log.releaseCounts.get("interference") ?? 0;
  const quantile = (share: number): string =>
    simulation.serviceMeter.latencyRatioAt(share).toFixed(2);
  console.log(
    `interference=${policy.name} latencyRatio p50=${quantile(0.5)} p90=${
      quantile(0.9)
    } p99=${quantile(0.99)} ` +
      `finished=${finished} submitted=${simulation.submittedAtMs.size} evictions=${evictions} ` +
      `throttles=${simulation.interferenceActions.get("throttle") ?? 0} moves=${
        simulation.interferenceActions.get("move") ?? 0
      }`,
  );
}

function configure(simulation: CellSimulation, policy: Policy): void {
  const { latencyWeight, evictionWeight, strainedRatio } = policy;
  const baseOptions = interferenceOptionsFor(latencyWeight, evictionWeight);
  const options = strainedRatio === undefined
    ? baseOptions
    : { ...baseOptions, strainedRatio, apartSlowdown: unreachable };
  for (const { keeper } of simulation.peers.values()) {
    const { interference } = keeper.coordinator;
    interference.options = options;
    if (strainedRatio === unreachable) interference.penalty = () => 0;
  }
  for (let n = 1; n <= serviceWorkers; n++) {
    const worker = simulation.workers.get(`w${n}`);
    if (worker) worker.service = { name: "menu", baseLatencyMs: 5 };
  }
  simulation.serviceMeter.slowdownByTemplate.set("noisy", 3);
  simulation.serviceMeter.slowdownByTemplate.set("mild", 1.1);
}

function submitWaves(simulation: CellSimulation): void {
  let count = 0;
  for (let atMs = 0; atMs < loadDurationMs - waveMs; atMs += submitIntervalMs) {
    const n = count++;
    const isNoisyWave = Math.floor(atMs / waveMs) % 2 === 0;
    const template = isNoisyWave && n % 2 === 0 ? "noisy" : "mild";
    const args = new Map([
      ["template", template],
      ["run", `${10 + n % 21}s`],
      ["cpu", "4"],
      ["memory", "4"],
    ]);
    simulation.eventQueue.after(atMs, () => {
      simulation.submit(
        buildJob(`b${n}`, { line: 0, words: ["submit"], args }),
      );
    });
  }
}

main();
