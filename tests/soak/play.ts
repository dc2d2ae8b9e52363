import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { Callers, callersHost } from "./callers.ts";
import { Faults } from "./faults.ts";
import { Judge } from "./judge.ts";
import { SoakProcess } from "./process.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const entries = 3;
const sidecars = 4;
const ports = {
  store: 7100,
  front: 7101,
  ready: 7102,
  control: 7103,
  app: 7104,
};
const memberPort = 7105;
/** Plays beside each other differ in the second number of their addresses. */
const firstNet = 10;
const nets = 200;
const submitEveryMs = 250;
const askEveryMs = 300;
const settleMs = 1_500;
/** All that was accepted ends within this after the last fault. */
const finishMs = 30_000;
const leaseMs = 6_000;

interface Played {
  readonly broken: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly notes: readonly string[];
  readonly folder: string;
}

/** Plays one seed: real processes on loopback, faults, then time to finish. */
export async function play(seed: number, forMs: number): Promise<Played> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const judge = new Judge();
  const store = new StoreStandIn();
  // Each process has an address of its own, so that all may use one port.
  const net = firstNet + seed % nets;
  const hostOf = (kind: number, index: number) =>
    `127.${net}.${kind}.${index + 1}`;
  const storeHost = hostOf(0, 0);
  await store.listen(storeHost, ports.store);
  await publish(store);
  const common = {
    internalPorts: memberPort,
    "platform.address": `${storeHost}:${ports.store}`,
    "bounds.maxHoldMs": leaseMs,
    "bounds.graceS": 3,
  };
  const processes: SoakProcess[] = [];
  const fronts: string[] = [];
  for (let index = 0; index < entries; index++) {
    const ip = hostOf(1, index);
    fronts.push(`${ip}:${ports.front}`);
    processes.push(
      new SoakProcess(`entry-${index}`, "entry", {
        ...common,
        node: `entry-${index}`,
        ip,
        "listen.front": `${ip}:${ports.front}`,
        "listen.ready": `${ip}:${ports.ready}`,
      }, folder),
    );
  }
  const runners: RunnerStandIn[] = [];
  for (let index = 0; index < sidecars; index++) {
    const ip = hostOf(2, index);
    const control = `${ip}:${ports.control}`;
    runners.push(
      new RunnerStandIn(`runner-${index}`, ip, ports.app, control, judge),
    );
    processes.push(
      new SoakProcess(`sidecar-${index}`, "sidecar", {
        ...common,
        node: `sidecar-${index}`,
        ip,
        "listen.control": control,
        app: `${ip}:${ports.app}`,
      }, folder),
    );
  }
  for (const runner of runners) await runner.listen();
  for (const process of processes) process.start();
  await sleep(settleMs);

  const notes: string[] = [];
  const startedAtMs = performance.now();
  const note = (line: string) =>
    notes.push(`${Math.round(performance.now() - startedAtMs)} ms: ${line}`);
  const callers = new Callers(fronts, judge, new SeededRandom(seed));
  const drawn = new SeededRandom(seed + 1_000_003);
  const faults = new Faults(store, runners, processes, drawn, note);
  const handedIn: Promise<void>[] = [];
  const submitting = setInterval(
    () => handedIn.push(callers.submit()),
    submitEveryMs,
  );
  await faults.run(forMs);
  clearInterval(submitting);
  await Promise.all(handedIn);
  const untilMs = performance.now() + finishMs;
  while (performance.now() < untilMs && !await callers.ask()) {
    await sleep(askEveryMs);
  }
  judge.close();
  for (const process of processes) await process.close();
  for (const runner of runners) runner.close();
  store.close();
  const jobs = [...judge.jobs.values()];
  const accepted = jobs.filter(({ isAccepted }) => isAccepted).length;
  return { broken: judge.broken, jobs: jobs.length, accepted, notes, folder };
}

async function publish(store: StoreStandIn): Promise<void> {
  const route = {
    name: "q",
    host: callersHost,
    pathPrefix: "/q/",
    service: "pool",
    priority: 0,
    maxAttempts: 100,
    stretch: 2,
    targetCompletionMs: 1_000,
  };
  const value = JSON.stringify({ version: 1, routes: [route] });
  await store.model.append("op", [{ key: "config", value }], { kind: "none" });
}
