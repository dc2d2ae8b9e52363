import type { JobId } from "../../src/schema/job_id.ts";
import { jobFrom } from "../language/job_from.ts";
import { World } from "../world/world.ts";
import type { HistoryStep } from "./history_step.ts";
import { randomHistory } from "./random_history.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";

const steps = 24;
const startMs = 5_000;
const quietMs = 60_000;
const longestQuietMs = 240_000;
const workers = 4;
const peers = 3;

/** Runs one random history, then heals all and lets the work end. */
export function runHistory(seed: number): World {
  const world = new World({
    seed,
    workers,
    peers,
    cores: 8,
    memoryGb: 32,
    accelerators: 0,
    racks: 2,
    placer: "spread-fit",
    tickMs: 200,
    recordsPerSnapshot: 40,
    claimsPerSecond: 40,
  });
  const random = new SeededRandom(seed ^ 0x5bd1e995);
  let atMs = startMs * random.next();
  for (const step of randomHistory(random, steps)) {
    atMs += step.afterMs;
    world.runUntil(atMs);
    world.notes.push(
      `${Math.round(atMs)} step ${step.kind} ${step.a} ${step.b}`,
    );
    take(world, step);
  }
  healAll(world);
  let untilMs = atMs + quietMs;
  world.runUntil(untilMs);
  while (!isDone(world) && untilMs < atMs + longestQuietMs) {
    untilMs += quietMs;
    world.runUntil(untilMs);
  }
  if (!isDone(world)) fail(world, "work is left over");
  return world;
}

function take(world: World, { kind, a, b }: HistoryStep): void {
  const peer = [...world.peers.values()][a % peers];
  const worker = [...world.workers.values()][b % workers];
  if (peer === undefined || worker === undefined) return;
  const job = world.accepted.size + a % 7;
  switch (kind) {
    case "submit":
    case "urgent": {
      const args = new Map([
        ["tasks", String(1 + a % 3)],
        ["run", `${1 + b % 9}s`],
        ["cpu", String(1 + b % 5)],
        ["max-attempts", "50"],
      ]);
      const words = kind === "urgent" ? ["submit", "urgent"] : ["submit"];
      const id = `j${world.submittedAtMs.size}`;
      world.submit(jobFrom(id, { line: 0, words, args }));
      return;
    }
    case "cancel":
      if (world.accepted.has(`j${job}` as JobId)) {
        world.cancel(`j${job}` as JobId);
      }
      return;
    case "kill_peer":
      peer.isAlive = false;
      return;
    case "restart_peer":
      peer.restart();
      return;
    case "pause_peer":
      peer.isPaused = true;
      world.scheduler.after(b * 20, () => peer.resume());
      return;
    case "kill_worker":
      worker.isAlive = false;
      return;
    case "restart_worker":
      worker.restart();
      return;
    case "pause_worker":
      worker.isPaused = true;
      world.scheduler.after(a * 20, () => {
        worker.isPaused = false;
      });
      return;
    case "cut_log":
      world.network.cut(peer.id, "log");
      return;
    case "cut_worker":
      world.network.cut(peer.id, worker.id);
      return;
    case "cut_peers":
      world.network.cut(peer.id, `p${1 + b % peers}`);
      return;
    case "heal":
      world.network.healAll();
      return;
    case "log_down":
      world.log.model.isDown = true;
      return;
    case "log_up":
      world.log.model.isDown = false;
      return;
    case "lose_answers":
      world.log.model.answersToLose = 1 + a % 5;
      return;
    case "lossy":
      world.network.lossRatio = (a % 4) / 10;
      return;
    case "fail_all":
      worker.model.failsEverything = !worker.model.failsEverything;
      return;
  }
}

function healAll(world: World): void {
  world.network.healAll();
  world.log.model.isDown = false;
  world.log.model.answersToLose = 0;
  for (const peer of world.peers.values()) {
    if (!peer.isAlive) peer.restart();
    else if (peer.isPaused) peer.resume();
  }
  for (const worker of world.workers.values()) {
    worker.model.failsEverything = false;
    worker.isPaused = false;
    if (!worker.isAlive) worker.restart();
  }
}

function isDone(world: World): boolean {
  const { jobs } = world.log.truth;
  const allIn = world.accepted.size === world.submittedAtMs.size;
  return allIn && [...jobs.values()].every((row) => row.unfinished === 0);
}

function fail(world: World, what: string): never {
  const notes = world.notes.slice(-60).join("\n");
  throw new Error(`history seed ${world.options.seed}: ${what}\n${notes}`);
}
