import { setTimeout as delay } from "node:timers/promises";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { audit } from "./audit.ts";
import { Caller } from "./caller.ts";
import { residentMemoryMb } from "./resident_memory_mb.ts";
import { printReport } from "./print_report.ts";
import { Tally } from "./tally.ts";
import { Watcher } from "./watcher.ts";

const loadDurationMs = 18_000;
const checkIntervalMs = 10;
const orderIntervalMs = 200;
const submitIntervalMs = 700;
const killSidecarAtMs = 5_000;
const killWorkerAtMs = 8_000;
const finishTimeoutMs = 25_000;

/**
 * Starts the processes of one data centre, sends checks, orders and jobs, kills
 * a sidecar and a worker meanwhile, and prints what was lost or ran twice.
 */
async function main(): Promise<void> {
  const fleet = new Fleet({
    dataCentre: "lagos-1",
    service: "menu",
    runners: 6,
    entries: 2,
    cores: 16,
    memoryGb: 60,
    meanMs: 6,
    proxies: {},
  });
  try {
    await fleet.start();
    console.log(
      "demo: one log, 2 entries, 6 sidecars with runners and workers",
    );
    process.exitCode = await run(fleet);
  } finally {
    await fleet.stop();
  }
}

async function run(fleet: Fleet): Promise<number> {
  await publishExample(fleet);
  const entries = [fleet.entryUrl(0), fleet.entryUrl(1)];
  const tally = new Tally();
  const caller = new Caller(entries, "yaba-club", "menu", tally, "demo");
  const watcher = new Watcher(entries, "menu", "kitchen");
  const watching = watcher.run();
  const accepted = await runLoad(fleet, caller);
  console.log(`demo: load has ended, ${accepted.length} jobs were accepted`);
  await waitForJobs(caller, accepted);
  watcher.stop();
  await watching;
  const found = await audit(fleet, accepted);
  const memory = [
    ...fleet.entries,
    ...fleet.hosts.map(({ sidecar }) => sidecar),
  ]
    .map(({ name, pid }) => ({ name, mb: residentMemoryMb(pid) }));
  return printReport({ tally, caller, watcher, accepted, found, memory });
}

async function publishExample(fleet: Fleet): Promise<void> {
  const args = ["--log", fleet.logAddress, "--by", "demo"];
  const published = await fleet.runCommand(
    "publish",
    "examples/seniors_lunch.jsonc",
    ...args,
  );
  if (published.code !== 0) throw new Error(published.output);
  const entry = fleet.entryUrl(0).replace("http://", "");
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < 15_000) {
    const { output } = await fleet.runCommand("status", "--entry", entry);
    if (/revision=0 behind=0/.test(output.split("\n").at(-1) ?? "")) {
      const tookMs = Math.round(performance.now() - startedAtMs);
      console.log(
        `demo: all processes use configuration revision 0 after ${tookMs} ms`,
      );
      return;
    }
    await delay(200);
  }
  throw new Error("not all processes use the configuration after 15 s");
}

async function runLoad(fleet: Fleet, caller: Caller): Promise<string[]> {
  const accepted: string[] = [];
  const calls: Promise<void>[] = [];
  const timers = [
    setInterval(() => calls.push(caller.sendCheck()), checkIntervalMs),
    setInterval(() => calls.push(caller.sendOrder(3)), orderIntervalMs),
    setInterval(() => {
      const isUrgent = accepted.length % 5 === 4;
      const template = isUrgent ? "soft-food-change" : "weekly-menu";
      calls.push(
        caller.submitJob(template).then((id) => {
          if (id !== undefined) accepted.push(id);
        }).catch(() => {}),
      );
    }, submitIntervalMs),
  ];
  await delay(killSidecarAtMs);
  console.log("demo: kill -9 sidecar-1");
  fleet.hosts[0]?.sidecar.signal("SIGKILL");
  await delay(killWorkerAtMs - killSidecarAtMs);
  console.log("demo: kill -9 worker-2");
  fleet.hosts[1]?.worker.signal("SIGKILL");
  await delay(loadDurationMs - killWorkerAtMs);
  for (const timer of timers) clearInterval(timer);
  await Promise.all(calls);
  return accepted;
}

async function waitForJobs(
  caller: Caller,
  ids: readonly string[],
): Promise<void> {
  const deadlineMs = performance.now() + finishTimeoutMs;
  for (const id of ids) {
    while (performance.now() < deadlineMs) {
      const view = await caller.findJob(id);
      if (view?.state === "finished") break;
      await delay(200);
    }
  }
}

await main();
