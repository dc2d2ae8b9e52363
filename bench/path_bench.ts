import { setTimeout as delay } from "node:timers/promises";
import { Pool } from "undici";
import { build, type Histogram } from "hdr-histogram-js";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { ProcessUsage } from "./process_usage.ts";

const lastsMs = 6_000;
const warmUpMs = 4_000;
const workMs = 1;
const microPerMs = 1_000;
const concurrencies = [8, 1];

interface Run {
  readonly latency: Histogram;
  readonly perSecond: number;
}

/** Measures the path over entry and sidecar against the runner alone. */
async function main(): Promise<void> {
  const flags = process.argv.slice(2);
  const fleet = new Fleet({
    dataCentre: "lagos-1",
    service: "menu",
    runners: 2,
    entries: 1,
    cores: 16,
    memoryGb: 60,
    meanMs: 1,
    proxies: {},
    ...(flags.length > 0 ? { flags } : {}),
  });
  try {
    await fleet.start();
    const log = ["--log", fleet.logAddress, "--by", "bench"];
    await fleet.command("publish", "examples/seniors_lunch.jsonc", ...log);
    await delay(5_000);
    await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measure(fleet: Fleet): Promise<void> {
  const entry = new ProcessUsage(fleet.entries[0]?.pid ?? 0);
  const sidecars = fleet.slots.map(({ sidecar }) =>
    new ProcessUsage(sidecar.pid ?? 0)
  );
  printMemory("idle", entry, sidecars);
  const runner = `http://127.0.0.1:${fleet.slots[0]?.runnerPort}`;
  for (const together of concurrencies) {
    const direct = await drive(runner, "/check", together);
    const before = [entry, ...sidecars].map((usage) => usage.cpuMs());
    const path = await drive(fleet.callers(), "/services/menu/check", together);
    const after = [entry, ...sidecars].map((usage) => usage.cpuMs());
    const calls = path.perSecond * (lastsMs + warmUpMs) / 1_000;
    const spent = after.map((ms, n) =>
      (ms - (before[n] ?? 0)) * microPerMs / calls
    );
    const [entryUs = 0, ...sidecarsUs] = spent;
    const sidecarUs = sidecarsUs.reduce((sum, us) => sum + us, 0);
    print(`direct  x${together}`, direct);
    print(`path    x${together}`, path);
    const added = median(path) - median(direct);
    console.log(
      `added   x${together} p50=${added.toFixed(2)}ms entry=${
        entryUs.toFixed(0)
      }us/call sidecar=${sidecarUs.toFixed(0)}us/call`,
    );
  }
  printMemory("loaded", entry, sidecars);
}

async function drive(
  origin: string,
  path: string,
  together: number,
): Promise<Run> {
  const pool = new Pool(origin, { connections: together });
  const latency = build();
  const startedAtMs = performance.now();
  const countFromMs = startedAtMs + warmUpMs;
  const untilMs = countFromMs + lastsMs;
  const callOn = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const sentAtMs = performance.now();
      const { body } = await pool.request({
        method: "POST",
        path,
        headers: { "x-member": "kitchen", "x-attempt-id": "b" },
        body: JSON.stringify({ workMs }),
      });
      await body.text();
      if (sentAtMs < countFromMs) continue;
      latency.recordValue(
        Math.round((performance.now() - sentAtMs) * microPerMs),
      );
    }
  };
  await Promise.all(Array.from({ length: together }, callOn));
  await pool.destroy();
  return { latency, perSecond: latency.totalCount * 1_000 / lastsMs };
}

function median({ latency }: Run): number {
  return latency.getValueAtPercentile(50) / microPerMs;
}

function print(name: string, { latency, perSecond }: Run): void {
  const ms = (p: number): string =>
    (latency.getValueAtPercentile(p) / microPerMs).toFixed(2);
  console.log(
    `${name} rate=${perSecond.toFixed(0)}/s p50=${ms(50)}ms p99=${
      ms(99)
    }ms p99.9=${ms(99.9)}ms`,
  );
}

function printMemory(
  when: string,
  entry: ProcessUsage,
  sidecars: readonly ProcessUsage[],
): void {
  const all = [
    ["entry", entry],
    ...sidecars.map((usage) => ["sidecar", usage]),
  ] as [string, ProcessUsage][];
  for (const [name, usage] of all) {
    const { all, anonymous, file } = usage.memoryMb();
    console.log(
      `memory ${when} ${name} residentMb=${all.toFixed(1)} anonymousMb=${
        anonymous.toFixed(1)
      } fileMb=${file.toFixed(1)}`,
    );
  }
}

await main();
