import { setTimeout as delay } from "node:timers/promises";
import { Fleet } from "../stand_ins/fleet/fleet.ts";
import { audit } from "./audit.ts";
import { Caller } from "./caller.ts";
import { memoryOf } from "./memory_of.ts";
import { report } from "./report.ts";
import { Tally } from "./tally.ts";
import { Watcher } from "./watcher.ts";

const loadMs = 18_000;
const checkEveryMs = 10;
const orderEveryMs = 200;
const submitEveryMs = 700;
const killSidecarAtMs = 5_000;
const killWorkerAtMs = 8_000;
const finishWithinMs = 25_000;

/** Starts one data centre, loads it, kills two processes, and reports. */
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
  await publish(fleet);
  const entries = [fleet.callers(0), fleet.callers(1)];
  const tally = new Tally();
  const caller = new Caller(entries, "yaba-club", "menu", tally, "demo");
  const watcher = new Watcher(entries, "menu", "kitchen");
  const watching = watcher.run();
  const accepted = await load(fleet, caller);
  console.log(`demo: load is over, ${accepted.length} plans were accepted`);
  await waitForJobs(caller, accepted);
  watcher.stop();
  await watching;
  const found = await audit(fleet, accepted);
  const memory = [
    ...fleet.entries,
    ...fleet.slots.map(({ sidecar }) => sidecar),
  ]
    .map(({ name, pid }) => ({ name, mb: memoryOf(pid) }));
  return report({ tally, caller, watcher, accepted, found, memory });
}

async function publish(fleet: Fleet): Promise<void> {
  const args = ["--log", fleet.logAddress, "--by", "demo"];
  const published = await fleet.command(
    "publish",
    "examples/seniors_lunch.jsonc",
    ...args,
  );
  if (published.code !== 0) throw new Error(published.output);
  const entry = fleet.callers(0).replace("http://", "");
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < 15_000) {
    const { output } = await fleet.command("status", "--entry", entry);
    if (/revision=0 behind=0/.test(output.split("\n").at(-1) ?? "")) {
      const tookMs = Math.round(performance.now() - startedAtMs);
      console.log(
        `demo: revision 0 is in force everywhere, seen after ${tookMs} ms`,
      );
      return;
    }
    await delay(200);
  }
  throw new Error("the configuration is not in force everywhere");
}

async function load(fleet: Fleet, caller: Caller): Promise<string[]> {
  const accepted: string[] = [];
  const calls: Promise<void>[] = [];
  const timers = [
    setInterval(() => calls.push(caller.check()), checkEveryMs),
    setInterval(() => calls.push(caller.order(3)), orderEveryMs),
    setInterval(() => {
      const isUrgent = accepted.length % 5 === 4;
      const template = isUrgent ? "soft-food-change" : "weekly-menu";
      calls.push(
        caller.submit(template).then((id) => {
          if (id !== undefined) accepted.push(id);
        }).catch(() => {}),
      );
    }, submitEveryMs),
  ];
  await delay(killSidecarAtMs);
  console.log("demo: kill -9 sidecar-1");
  fleet.slots[0]?.sidecar.signal("SIGKILL");
  await delay(killWorkerAtMs - killSidecarAtMs);
  console.log("demo: kill -9 worker-2");
  fleet.slots[1]?.worker.signal("SIGKILL");
  await delay(loadMs - killWorkerAtMs);
  for (const timer of timers) clearInterval(timer);
  await Promise.all(calls);
  return accepted;
}

async function waitForJobs(
  caller: Caller,
  ids: readonly string[],
): Promise<void> {
  const untilMs = performance.now() + finishWithinMs;
  for (const id of ids) {
    while (performance.now() < untilMs) {
      const view = await caller.find(id);
      if (view?.state === "finished") break;
      await delay(200);
    }
  }
}

await main();
