import { interferenceOptionsFor } from "../src/core/interfere/interference_options_for.ts";
import { jobFrom } from "../scenarios/language/job_from.ts";
import { World } from "../scenarios/world/world.ts";

const workers = 12;
const serviceWorkers = 6;
const fromMs = 15_000;
const lastsMs = 600_000;
const everyMs = 650;
const waveMs = 60_000;
const never = 1e9;

interface Policy {
  readonly name: string;
  readonly latencyWeight: number;
  readonly evictionWeight: number;
  readonly strainedRatio?: number;
}

const policies: readonly Policy[] = [
  { name: "none", latencyWeight: 1, evictionWeight: 0, strainedRatio: never },
  { name: "seniors-lunch", latencyWeight: 0.9, evictionWeight: 0.1 },
  { name: "plating-line", latencyWeight: 0.6, evictionWeight: 0.4 },
];

/** Noisy batch work in waves beside a service, with and without action. */
function main(): void {
  for (const policy of policies) measure(policy);
}

function measure(policy: Policy): void {
  const world = new World({
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
  world.invariants.checkEveryMs = 500;
  setUp(world, policy);
  world.runUntil(fromMs);
  submitWaves(world);
  world.services.ratios.length = 0;
  world.runUntil(fromMs + lastsMs);
  const { log } = world;
  const finished = log.kinds.get("finished") ?? 0;
  const evictions = log.releases.get("interference") ?? 0;
  const at = (part: number): string =>
    world.services.percentile(part).toFixed(2);
  console.log(
    `interference=${policy.name} latencyRatio p50=${at(0.5)} p90=${
      at(0.9)
    } p99=${at(0.99)} ` +
      `finished=${finished} submitted=${world.submittedAtMs.size} evictions=${evictions} ` +
      `throttles=${world.actions.get("throttle") ?? 0} moves=${
        world.actions.get("move") ?? 0
      }`,
  );
}

function setUp(world: World, policy: Policy): void {
  const { latencyWeight, evictionWeight, strainedRatio } = policy;
  const usual = interferenceOptionsFor(latencyWeight, evictionWeight);
  const options = strainedRatio === undefined
    ? usual
    : { ...usual, strainedRatio, apartSlowdown: never };
  for (const { keeper } of world.peers.values()) {
    const { interference } = keeper.office;
    interference.options = options;
    if (strainedRatio === never) interference.penalty = () => 0;
  }
  for (let n = 1; n <= serviceWorkers; n++) {
    const worker = world.workers.get(`w${n}`);
    if (worker) worker.service = { name: "menu", baseMs: 5 };
  }
  world.services.slowdowns.set("noisy", 3);
  world.services.slowdowns.set("mild", 1.1);
}

function submitWaves(world: World): void {
  let count = 0;
  for (let atMs = 0; atMs < lastsMs - waveMs; atMs += everyMs) {
    const n = count++;
    const isNoisyWave = Math.floor(atMs / waveMs) % 2 === 0;
    const template = isNoisyWave && n % 2 === 0 ? "noisy" : "mild";
    const args = new Map([
      ["template", template],
      ["run", `${10 + n % 21}s`],
      ["cpu", "4"],
      ["memory", "4"],
    ]);
    world.scheduler.after(atMs, () => {
      world.submit(jobFrom(`b${n}`, { line: 0, words: ["submit"], args }));
    });
  }
}

main();
