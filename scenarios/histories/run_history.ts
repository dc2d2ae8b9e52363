import type { JobId } from "../../src/schema/job_id.ts";
import { buildJob } from "../language/build_job.ts";
import { CellSimulation } from "../world/cell_simulation.ts";
import type { HistoryStep } from "./history_step.ts";
import { randomHistory } from "./random_history.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";

const stepCount = 24;
/** The first step comes within this time. */
const maxStartMs = 5_000;
/** Time in which all work should end once the faults are healed. */
const settleMs = 60_000;
/** Time after which unfinished work fails the history. */
const maxSettleMs = 240_000;
const workerCount = 4;
const peerCount = 3;

/**
 * Runs one random history, then heals all faults and waits for the work to end.
 * Throws if an invariant breaks or if work is left over.
 */
export function runHistory(seed: number): CellSimulation {
  const simulation = new CellSimulation({
    seed,
    workers: workerCount,
    peers: peerCount,
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
  let atMs = maxStartMs * random.next();
  for (const step of randomHistory(random, stepCount)) {
    atMs += step.afterMs;
    simulation.runUntil(atMs);
    simulation.traceLines.push(
      `${Math.round(atMs)} step ${step.kind} ${step.a} ${step.b}`,
    );
    applyStep(simulation, step);
  }
  healAll(simulation);
  let untilMs = atMs + settleMs;
  simulation.runUntil(untilMs);
  while (!isAllWorkDone(simulation) && untilMs < atMs + maxSettleMs) {
    untilMs += settleMs;
    simulation.runUntil(untilMs);
  }
  if (!isAllWorkDone(simulation)) failHistory(simulation, "work is left over");
  return simulation;
}

function applyStep(
  simulation: CellSimulation,
  { kind, a, b }: HistoryStep,
): void {
  const peer = [...simulation.peers.values()][a % peerCount];
  const worker = [...simulation.workers.values()][b % workerCount];
  if (peer === undefined || worker === undefined) return;
  const job = simulation.acceptedJobs.size + a % 7;
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
      const id = `j${simulation.submittedAtMs.size}`;
      simulation.submit(buildJob(id, { line: 0, words, args }));
      return;
    }
    case "cancel":
      if (simulation.acceptedJobs.has(`j${job}` as JobId)) {
        simulation.cancel(`j${job}` as JobId);
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
      simulation.eventQueue.after(b * 20, () => peer.resume());
      return;
    case "kill_worker":
      worker.isAlive = false;
      return;
    case "restart_worker":
      worker.restart();
      return;
    case "pause_worker":
      worker.isPaused = true;
      simulation.eventQueue.after(a * 20, () => {
        worker.isPaused = false;
      });
      return;
    case "cut_log":
      simulation.network.cut(peer.id, "log");
      return;
    case "cut_worker":
      simulation.network.cut(peer.id, worker.id);
      return;
    case "cut_peers":
      simulation.network.cut(peer.id, `p${1 + b % peerCount}`);
      return;
    case "heal":
      simulation.network.healAll();
      return;
    case "log_down":
      simulation.log.model.isDown = true;
      return;
    case "log_up":
      simulation.log.model.isDown = false;
      return;
    case "lose_answers":
      simulation.log.model.answersToLose = 1 + a % 5;
      return;
    case "lossy":
      simulation.network.lossRatio = (a % 4) / 10;
      return;
    case "fail_all":
      worker.model.failsEverything = !worker.model.failsEverything;
      return;
  }
}

function healAll(simulation: CellSimulation): void {
  simulation.network.healAll();
  simulation.log.model.isDown = false;
  simulation.log.model.answersToLose = 0;
  for (const peer of simulation.peers.values()) {
    if (!peer.isAlive) peer.restart();
    else if (peer.isPaused) peer.resume();
  }
  for (const worker of simulation.workers.values()) {
    worker.model.failsEverything = false;
    worker.isPaused = false;
    if (!worker.isAlive) worker.restart();
  }
}

function isAllWorkDone(simulation: CellSimulation): boolean {
  const { jobs } = simulation.log.truth;
  const areAllAccepted =
    simulation.acceptedJobs.size === simulation.submittedAtMs.size;
  return areAllAccepted &&
    [...jobs.values()].every((row) => row.unfinished === 0);
}

function failHistory(simulation: CellSimulation, problem: string): never {
  const notes = simulation.traceLines.slice(-60).join("\n");
  throw new Error(
    `history seed ${simulation.options.seed}: ${problem}\n${notes}`,
  );
}
