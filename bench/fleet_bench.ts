import { readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { ProcessUsage } from "./process_usage.ts";

const sizes = process.argv.slice(2).map(Number);
const defaultSizes = [6, 24, 48];
const publications = 8;
const pollIntervalMs = 50;
/** Time over which idle cost is measured. */
const idleMs = 10_000;
/** Pause before that, so that no publication is still being spread. */
const settleMs = 14_000;
const example = "examples/seniors_lunch.jsonc";

interface Status {
  readonly processes: readonly { readonly configRevision: number }[];
}

/**
 * Measures, by size of the fleet, how long a published configuration takes to
 * reach every process, and what idle processes cost.
 */
async function main(): Promise<void> {
  for (const size of sizes.length > 0 ? sizes : defaultSizes) {
    const fleet = new Fleet({
      dataCentre: "lagos-1",
      service: "menu",
      runners: size,
      entries: 2,
      cores: 16,
      memoryGb: 60,
      meanMs: 4,
      proxies: {},
    });
    try {
      await fleet.start();
      await measure(fleet, size);
    } finally {
      await fleet.stop();
    }
  }
}

async function measure(fleet: Fleet, size: number): Promise<void> {
  const times: number[] = [];
  for (let n = 0; n < publications; n++) {
    times.push(await publish(fleet, size, n));
  }
  times.sort((a, b) => a - b);
  await delay(settleMs);
  const { keeper, entries, sidecars } = await measureIdleCost(fleet);
  const median = times[Math.floor(times.length / 2)] ?? 0;
  console.log(
    [
      `sidecars=${size}`,
      `inForceMs p50=${median.toFixed(0)} max=${times.at(-1)?.toFixed(0)}`,
      `idleCpuMsPerSecond entry=${entries.toFixed(1)} keeper=${
        keeper.toFixed(1)
      } sidecar=${sidecars.toFixed(1)}`,
      formatMemory(fleet),
    ].join(" "),
  );
}

/**
 * Publishes a change; returns the time until an entry shows that every process
 * uses it.
 */
async function publish(fleet: Fleet, size: number, n: number): Promise<number> {
  const file = join(tmpdir(), `gypsumpond-bench-${process.pid}.jsonc`);
  const text = readFileSync(example, "utf8");
  writeFileSync(
    file,
    text.replace('"checkTimeoutMs": 400', `"checkTimeoutMs": ${401 + n}`),
  );
  const { code, output } = await fleet.runCommand(
    "publish",
    file,
    "--log",
    fleet.logAddress,
    "--by",
    "bench",
  );
  if (code !== 0) throw new Error(output);
  const appendedAtMs = performance.now();
  const expected = size + fleet.options.entries;
  while (performance.now() - appendedAtMs < 30_000) {
    const answer = await fetch(`${fleet.entryUrl(0)}/status`);
    const { processes } = await answer.json() as Status;
    const updated = processes.filter(({ configRevision }) =>
      configRevision >= n
    );
    if (updated.length === expected) return performance.now() - appendedAtMs;
    await delay(pollIntervalMs);
  }
  throw new Error("not every process uses the configuration after 30 s");
}

/**
 * CPU milliseconds per second of the busiest entry, of the median sidecar and
 * of the busiest sidecar, which is taken to be the keeper.
 */
async function measureIdleCost(
  fleet: Fleet,
): Promise<{ keeper: number; entries: number; sidecars: number }> {
  const entries = fleet.entries.map(({ pid }) => new ProcessUsage(pid ?? 0));
  const sidecars = fleet.hosts.map(({ sidecar }) =>
    new ProcessUsage(sidecar.pid ?? 0)
  );
  const before = [...entries, ...sidecars].map((usage) => usage.cpuMs());
  await delay(idleMs);
  const spent = [...entries, ...sidecars]
    .map((usage, n) => (usage.cpuMs() - (before[n] ?? 0)) * 1_000 / idleMs);
  const ofEntries = spent.slice(0, entries.length);
  const ofSidecars = spent.slice(entries.length).sort((a, b) => a - b);
  return {
    keeper: ofSidecars.at(-1) ?? 0,
    entries: Math.max(...ofEntries),
    sidecars: ofSidecars[Math.floor(ofSidecars.length / 2)] ?? 0,
  };
}

function formatMemory(fleet: Fleet): string {
  const usages = fleet.hosts
    .map(({ sidecar }) => new ProcessUsage(sidecar.pid ?? 0).memoryMb())
    .sort((a, b) => a.all - b.all);
  const median = usages[Math.floor(usages.length / 2)];
  const largest = usages.at(-1);
  return `sidecarMb p50=${median?.all.toFixed(0)} anonymous=${
    median?.anonymous.toFixed(0)
  } max=${largest?.all.toFixed(0)}`;
}

await main();
