import type { Labels } from "../../src/schema/labels.ts";
import type { PeerId } from "../../src/schema/peer_id.ts";
import type { WorkerId } from "../../src/schema/worker_id.ts";
import type { JobId } from "../../src/schema/job_id.ts";
import type { Job } from "../../src/schema/job.ts";
import { defaultKeeperOptions } from "../../src/core/keep/default_keeper_options.ts";
import type { ServiceLatency } from "../../src/core/interfere/service_latency.ts";
import type { KeeperEffect } from "../../src/core/keep/keeper_effect.ts";
import { FirstFit } from "../../src/core/place/first_fit.ts";
import type { Placer } from "../../src/core/place/placer.ts";
import { RandomFit } from "../../src/core/place/random_fit.ts";
import { SpreadFit } from "../../src/core/place/spread_fit.ts";
import type { WorkerCommand } from "../../src/core/worker/worker_command.ts";
import type { WorkerAnswer } from "../../src/core/worker/worker_answer.ts";
import { Invariants } from "./invariants.ts";
import { Network } from "./network.ts";
import { EventQueue } from "./event_queue.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { ServiceMeter } from "./service_meter.ts";
import { SimClock } from "./sim_clock.ts";
import { SimLog } from "./sim_log.ts";
import { SimPeer } from "./sim_peer.ts";
import { SimWorker } from "./sim_worker.ts";
import type { CellSimulationOptions } from "./cell_simulation_options.ts";

const bytesPerGb = 2 ** 30;
const measureIntervalMs = 1_000;
const retryIntervalMs = 500;
/** Two clocks differ by at most about 1 %, which leases allow for. */
const maxClockDrift = 0.005;

/** One cell on virtual time: its log, workers, and peers that can keep it. */
export class CellSimulation {
  readonly eventQueue = new EventQueue();
  readonly random: SeededRandom;
  readonly network: Network;
  readonly log: SimLog;
  readonly workers = new Map<string, SimWorker>();
  readonly peers = new Map<string, SimPeer>();
  readonly invariants: Invariants;
  readonly serviceMeter: ServiceMeter;
  #measuredAtMs = -Infinity;
  /** Jobs whose `submitted` record the log has acknowledged. */
  readonly acceptedJobs = new Set<JobId>();
  readonly submittedAtMs = new Map<JobId, number>();
  /** Number of actions against interference, by kind. */
  readonly interferenceActions = new Map<string, number>();
  /** Lines for the error message of a failed run: time, peer, event. */
  readonly traceLines: string[] = [];

  constructor(readonly options: CellSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.serviceMeter = new ServiceMeter(() => this.random.next());
    this.network = new Network(this.eventQueue, this.random);
    this.log = new SimLog(this.network);
    for (let n = 1; n <= options.workers; n++) this.#addWorker(n);
    for (let n = 1; n <= options.peers; n++) this.#addPeer(n);
    this.invariants = new Invariants(this);
    this.#tick();
  }

  /** The keeper of the newest epoch in the log. */
  get keeper(): SimPeer | undefined {
    const { epoch } = this.log.truth;
    return epoch && this.peers.get(epoch.keeper);
  }

  /** Advances virtual time and checks the invariants after every event. */
  runUntil(atMs: number): void {
    while (this.eventQueue.runNext(atMs)) this.invariants.check();
    this.invariants.check();
  }

  /** Submits a job as an entry does: retries until the log acknowledges it. */
  submit(job: Job): void {
    this.submittedAtMs.set(job.id, this.eventQueue.nowMs);
    this.#trySubmit(job);
  }

  /** Cancels a job as an entry does: retries if the log refuses. */
  cancel(job: JobId): void {
    const atMs = Math.floor(this.eventQueue.nowMs);
    const by = "entry" as PeerId;
    this.log.append(
      "entry",
      [{ kind: "cancelled", job, atMs, by }],
      (first) => {
        if (first === "refused") {
          this.eventQueue.after(retryIntervalMs, () => this.cancel(job));
        }
      },
    );
  }

  /** Sends an order to a worker; the callback receives its report. */
  callWorker(
    from: string,
    to: WorkerId,
    order: WorkerCommand | undefined,
    done: (report: WorkerAnswer, labels: Labels) => void,
  ): void {
    this.network.send(from, to, () => {
      const worker = this.workers.get(to);
      const copy = order && structuredClone(order);
      const report = worker?.apply(copy, this.eventQueue.nowMs);
      if (worker === undefined || report === undefined) return;
      this.network.send(to, from, () => done(report, worker.labels));
    });
  }

  /** Sends a keep-alive to a candidate; the callback receives its pledge. */
  callPeer(
    from: string,
    call: Extract<KeeperEffect, { kind: "keep_alive" }>,
    done: (pledgeMs: number) => void,
  ): void {
    const { candidate: to, epoch, withoutLog } = call;
    this.network.send(from, to, () => {
      const peer = this.peers.get(to);
      if (!peer?.isAlive || peer.isPaused) return;
      const { keeper } = peer;
      const pledgeMs = keeper.hearKeepAlive(epoch, withoutLog, peer.nowMs());
      this.network.send(to, from, () => done(pledgeMs));
    });
  }

  /** Records a decision of a peer, for error messages and counts. */
  recordEffect(peer: PeerId, effect: KeeperEffect): void {
    if (effect.kind === "state") this.#trace(peer, `state=${effect.state}`);
    if (effect.kind !== "interference") return;
    const { kind, task, worker } = effect.action;
    this.#trace(peer, `${kind} ${task} on ${worker}`);
    this.interferenceActions.set(
      kind,
      (this.interferenceActions.get(kind) ?? 0) + 1,
    );
  }

  #trace(peer: string, text: string): void {
    this.traceLines.push(
      `${Math.round(this.eventQueue.nowMs)} ${peer} ${text}`,
    );
  }

  #trySubmit(job: Job): void {
    const atMs = Math.floor(this.eventQueue.nowMs);
    const record = {
      kind: "submitted",
      job,
      atMs,
      by: "entry" as PeerId,
    } as const;
    this.log.append("entry", [record], (first) => {
      if (first !== "refused") {
        this.acceptedJobs.add(job.id);
        this.keeper?.handleEvent({ kind: "woken" });
      }
    });
    this.eventQueue.after(retryIntervalMs, () => {
      if (!this.acceptedJobs.has(job.id)) this.#trySubmit(job);
    });
  }

  #addWorker(n: number): void {
    const { cores, memoryGb, accelerators, racks } = this.options;
    const capacity = {
      cpuMilli: cores * 1_000,
      memoryBytes: memoryGb * bytesPerGb,
      accelerators,
    };
    const rack = `r${1 + (n - 1) % racks}`;
    const labels = { rack, worker: `w${n}` };
    const worker = new SimWorker(
      `w${n}` as WorkerId,
      capacity,
      labels,
      this.#createClock(),
    );
    this.workers.set(worker.id, worker);
  }

  #addPeer(n: number): void {
    const options = {
      ...defaultKeeperOptions,
      recordsPerSnapshot: this.options.recordsPerSnapshot,
      claimsPerSecond: this.options.claimsPerSecond,
    };
    const id = `p${n}` as PeerId;
    const peer = new SimPeer(
      id,
      this,
      this.#createClock(),
      options,
      this.#createPlacer(),
    );
    this.peers.set(id, peer);
  }

  #createPlacer(): Placer {
    switch (this.options.placer) {
      case "first-fit":
        return new FirstFit();
      case "random-fit":
        return new RandomFit(this.random);
      case "spread-fit":
        return new SpreadFit(this.random);
    }
  }

  /** Measures the services once a second; between, returns none. */
  #measure(): ServiceLatency[] {
    const { nowMs } = this.eventQueue;
    if (nowMs - this.#measuredAtMs < measureIntervalMs) return [];
    this.#measuredAtMs = nowMs;
    return this.serviceMeter.measure(this.workers.values(), nowMs);
  }

  #createClock(): SimClock {
    const drift = (this.random.next() * 2 - 1) * maxClockDrift;
    return new SimClock(this.random.next() * 1e6, 1 + drift);
  }

  #tick(): void {
    const peers = [...this.peers.values()].filter((peer) => peer.isAlive);
    const ids = peers.map(({ id }) => id);
    const workers = [...this.workers.values()].map(({ id }) => id);
    const loads = this.#measure();
    for (const peer of peers) {
      peer.handleEvent({
        kind: "peers",
        peers: ids,
        workers,
        latencies: loads,
      });
    }
    for (const worker of this.workers.values()) {
      worker.advance(this.eventQueue.nowMs);
    }
    this.eventQueue.after(this.options.tickMs, () => this.#tick());
  }
}
