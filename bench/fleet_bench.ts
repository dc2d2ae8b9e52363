import { readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { ProcessUsage } from "./process_usage.ts";

const sizes = process.argv.slice(2).map(Number);
const defaultSizes = [6, 24, 48];
const publications = 8;
const pollMs = 50;
const idleMs = 10_000;
const settleMs = 14_000;
const example = "examples/seniors_lunch.jsonc";

interface Status {
  readonly processes: readonly { readonly configRevision: number }[];
}

/** Measures idle cost and the spread of configuration by size of the fleet. */
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
  const { keeper, entries, sidecars } = await idleCost(fleet);
  const middle = times[Math.floor(times.length / 2)] ?? 0;
  console.log(
    [
      `sidecars=${size}`,
      `inForceMs p50=${middle.toFixed(0)} max=${times.at(-1)?.toFixed(0)}`,
      `idleCpuMsPerSecond entry=${entries.toFixed(1)} keeper=${
        keeper.toFixed(1)
      } sidecar=${sidecars.toFixed(1)}`,
      memory(fleet),
    ].join(" "),
  );
}

/** Publishes a change; gives the time until an entry knows it in force everywhere. */
async function publish(fleet: Fleet, size: number, n: number): Promise<number> {
  const file = join(tmpdir(), `gypsumpond-bench-${process.pid}.jsonc`);
  const text = readFileSync(example, "utf8");
  writeFileSync(
    file,
    text.replace('"checkTimeoutMs": 400', `"checkTimeoutMs": ${401 + n}`),
  );
  const { code, output } = await fleet.command(
    "publish",
    file,
    "--log",
    fleet.logAddress,
    "--by",
    "bench",
  );
  if (code !== 0) throw new Error(output);
  const appendedAtMs = performance.now();
  const wanted = size + fleet.options.entries;
  while (performance.now() - appendedAtMs < 30_000) {
    const answer = await fetch(`${fleet.callers(0)}/status`);
    const { processes } = await answer.json() as Status;
    const current = processes.filter(({ configRevision }) =>
      configRevision >= n
    );
    if (current.length === wanted) return performance.now() - appendedAtMs;
    await delay(pollMs);
  }
  throw new Error("not in force everywhere");
}

async function idleCost(
  fleet: Fleet,
): Promise<{ keeper: number; entries: number; sidecars: number }> {
  const entries = fleet.entries.map(({ pid }) => new ProcessUsage(pid ?? 0));
  const sidecars = fleet.slots.map(({ sidecar }) =>
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

function memory(fleet: Fleet): string {
  const mb = fleet.slots
    .map(({ sidecar }) => new ProcessUsage(sidecar.pid ?? 0).memoryMb())
    .sort((a, b) => a.all - b.all);
  const middle = mb[Math.floor(mb.length / 2)];
  const most = mb.at(-1);
  return `sidecarMb p50=${middle?.all.toFixed(0)} anonymous=${
    middle?.anonymous.toFixed(0)
  } max=${most?.all.toFixed(0)}`;
}

await main();
