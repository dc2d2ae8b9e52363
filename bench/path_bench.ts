import { setTimeout as delay } from "node:timers/promises";
import { Pool } from "undici";
import { build, type Histogram } from "hdr-histogram-js";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { ProcessUsage } from "./process_usage.ts";

const measureMs = 6_000;
const warmUpMs = 4_000;
/** Work of the runner per call. */
const workMs = 1;
const microsPerMs = 1_000;
const concurrencies = [8, 1];

interface RunResult {
  readonly latency: Histogram;
  readonly perSecond: number;
}

/**
 * Compares calls over an entry and a sidecar with direct calls of the runner.
 * Arguments replace the Node.js flags of the processes.
 */
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
    await fleet.runCommand("publish", "examples/seniors_lunch.jsonc", ...log);
    await delay(5_000);
    await measure(fleet);
  } finally {
    await fleet.stop();
  }
}

async function measure(fleet: Fleet): Promise<void> {
  const entry = new ProcessUsage(fleet.entries[0]?.pid ?? 0);
  const sidecars = fleet.hosts.map(({ sidecar }) =>
    new ProcessUsage(sidecar.pid ?? 0)
  );
  printMemory("idle", entry, sidecars);
  const runner = `http://127.0.0.1:${fleet.hosts[0]?.runnerPort}`;
  for (const concurrency of concurrencies) {
    const direct = await callRepeatedly(runner, "/check", concurrency);
    const before = [entry, ...sidecars].map((usage) => usage.cpuMs());
    const viaEntry = await callRepeatedly(
      fleet.entryUrl(),
      "/services/menu/check",
      concurrency,
    );
    const after = [entry, ...sidecars].map((usage) => usage.cpuMs());
    const calls = viaEntry.perSecond * (measureMs + warmUpMs) / 1_000;
    const cpuUsPerCall = after.map((ms, n) =>
      (ms - (before[n] ?? 0)) * microsPerMs / calls
    );
    const [entryUs = 0, ...sidecarsUs] = cpuUsPerCall;
    const sidecarUs = sidecarsUs.reduce((sum, us) => sum + us, 0);
    printLatency(`direct  x${concurrency}`, direct);
    printLatency(`path    x${concurrency}`, viaEntry);
    const added = median(viaEntry) - median(direct);
    console.log(
      `added   x${concurrency} p50=${added.toFixed(2)}ms entry=${
        entryUs.toFixed(0)
      }us/call sidecar=${sidecarUs.toFixed(0)}us/call`,
    );
  }
  printMemory("loaded", entry, sidecars);
}

async function callRepeatedly(
  origin: string,
  path: string,
  concurrency: number,
): Promise<RunResult> {
  const pool = new Pool(origin, { connections: concurrency });
  const latency = build();
  const startedAtMs = performance.now();
  const measureFromMs = startedAtMs + warmUpMs;
  const endMs = measureFromMs + measureMs;
  const callInLoop = async (): Promise<void> => {
    while (performance.now() < endMs) {
      const sentAtMs = performance.now();
      const { body } = await pool.request({
        method: "POST",
        path,
        headers: { "x-member": "kitchen", "x-attempt-id": "b" },
        body: JSON.stringify({ workMs }),
      });
      await body.text();
      if (sentAtMs < measureFromMs) continue;
      latency.recordValue(
        Math.round((performance.now() - sentAtMs) * microsPerMs),
      );
    }
  };
  await Promise.all(Array.from({ length: concurrency }, callInLoop));
  await pool.destroy();
  return { latency, perSecond: latency.totalCount * 1_000 / measureMs };
}

function median({ latency }: RunResult): number {
  return latency.getValueAtPercentile(50) / microsPerMs;
}

function printLatency(name: string, { latency, perSecond }: RunResult): void {
  const ms = (p: number): string =>
    (latency.getValueAtPercentile(p) / microsPerMs).toFixed(2);
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
  const processes = [
    ["entry", entry],
    ...sidecars.map((usage) => ["sidecar", usage]),
  ] as [string, ProcessUsage][];
  for (const [name, usage] of processes) {
    const { all, anonymous, file } = usage.memoryMb();
    console.log(
      `memory ${when} ${name} residentMb=${all.toFixed(1)} anonymousMb=${
        anonymous.toFixed(1)
      } fileMb=${file.toFixed(1)}`,
    );
  }
}

await main();
