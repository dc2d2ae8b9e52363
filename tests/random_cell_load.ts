import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { StartRefusal } from "../src/core/cell/start_refusal.ts";
import type { Worker } from "../src/core/cell/worker.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { Queue } from "../src/core/jobs/queue.ts";
import type { RunEnd } from "../src/core/jobs/run_end.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { RunOutcome } from "../src/core/jobs/run_outcome.ts";
import type { RunStatus } from "../src/core/jobs/run_status.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";
import { CellFixture } from "./cell_fixture.ts";

const bytesPerGb = 1_073_741_824;
const mostWorkers = 14;
const mostLiveJobs = 60;
const tickMs = 50;
const racks = ["r1", "r2", "r3"];
const outcomes: readonly RunOutcome[] = [
  ...Array<RunOutcome>(12).fill("done"),
  "failed",
  "failed",
  "broken",
  "alone",
  "stopped",
];
const refusals: readonly StartRefusal[] = [
  "unhealthy",
  "no_room",
  "ticket",
  "other_life",
];

type Action = (fixture: CellFixture) => void;

/** The part of a worker that its reports show, apart from its runs. */
interface Machine {
  readonly node: string;
  life: number;
  ends: number;
  change: Partial<SidecarReport>;
}

/**
 * Plays the same random load on several cells: all kinds of steps, and workers
 * that join, restart, drain, change, are lost, refuse, fail and report late.
 */
export class RandomCellLoad {
  readonly #random: SeededRandom;
  readonly #machines: Machine[] = [];
  #jobs = 0;

  constructor(seed: number, readonly fixtures: readonly CellFixture[]) {
    this.#random = new SeededRandom(seed);
    for (const name of ["q", "batch", "advised"]) this.#setQueue(name);
    for (let count = 0; count < 3; count++) this.#join();
  }

  /** Plays the events of one tick and the tick; returns each one's effects. */
  step(): CellEffect[][] {
    const { cell } = this.fixtures[0]!;
    this.#answerQueries();
    this.#all(({ effects }) => effects.length = 0);
    if (this.#chance(0.3) && cell.liveJobs.size < mostLiveJobs) this.#submit();
    if (this.#chance(0.03)) this.#join();
    if (this.#chance(0.03)) this.#cancel();
    if (this.#chance(0.02)) this.#setQueue(this.#pick(["q", "batch"]));
    for (const machine of this.#machines) this.#act(machine);
    const ms = this.#chance(0.05) ? this.#below(900) : tickMs;
    this.#all((fixture) => fixture.advance(ms));
    return this.fixtures.map(({ effects }) => [...effects]);
  }

  #act(machine: Machine): void {
    const node = machine.node as NodeId;
    const worker = this.fixtures[0]!.cell.worker(node);
    if (this.#chance(0.15)) this.#report(machine, worker);
    if (this.#chance(0.05)) this.#startRun(worker);
    if (this.#chance(0.01)) this.#refuse(worker);
    if (this.#chance(0.004)) {
      this.#all(({ cell }) => cell.handleDisconnect(node));
    }
    if (this.#chance(0.002)) {
      this.#all((fixture) =>
        fixture.collect(fixture.cell.handleWorkerLost(node, fixture.nowMs))
      );
    }
    if (this.#chance(0.004)) {
      machine.life += 1;
      machine.ends = 0;
    }
    if (this.#chance(0.02)) this.#changeMachine(machine);
  }

  #report(machine: Machine, worker: Worker): void {
    const running: RunStatus[] = [];
    const ends: RunEnd[] = [];
    for (const { name, run, claim, group } of worker.claims.values()) {
      if (claim?.isOrdered !== true || this.#chance(0.05)) continue;
      const { cpuMilli } = group.definition.resources;
      const isService = group.definition.isService;
      const mayEnd = claim.phase !== "starting" || this.#chance(0.3);
      if (mayEnd && this.#chance(isService ? 0.01 : 0.25)) {
        const outcome = claim.phase === "stopping"
          ? "stopped"
          : this.#pick(outcomes);
        const checkpoint = this.#chance(0.5) ? `c${this.#below(9)}` : "";
        const number = ++machine.ends;
        ends.push({ number, task: name, run, outcome, checkpoint });
      } else {
        const most = isService ? 150 : cpuMilli;
        running.push({
          task: name,
          run,
          checkpoint: "",
          percent: this.#below(100),
          figure: this.#below(most),
        });
      }
    }
    if (this.#chance(0.02)) {
      const task = `j${this.#below(this.#jobs)}.0.0.0` as TaskName;
      if (running.every((status) => status.task !== task)) {
        const status = { checkpoint: "", percent: 0, figure: 0 };
        running.push({ task, run: 9, ...status });
      }
    }
    const isUp = !this.#chance(0.02);
    const life = `${machine.node}@${machine.life}` as RunnerLife;
    this.#all((fixture) =>
      fixture.reportWorker(machine.node, {
        ...machine.change,
        life,
        running,
        ends,
        isUp,
      })
    );
  }

  #startRun(worker: Worker): void {
    const starting = [...worker.claims.values()]
      .filter(({ claim }) => claim?.phase === "starting");
    if (starting.length === 0) return;
    const { name, run } = this.#pick(starting);
    this.#all((fixture) =>
      fixture.collect(
        fixture.cell.markStarted(
          worker.node,
          { task: name, run },
          fixture.nowMs,
        ),
      )
    );
  }

  #refuse(worker: Worker): void {
    const starting = [...worker.claims.values()]
      .filter(({ claim }) => claim?.phase === "starting");
    if (starting.length === 0) return;
    const { name, run } = this.#pick(starting);
    const reason = this.#pick(refusals);
    this.#all((fixture) => fixture.refuse(worker.node, name, run, reason));
  }

  #join(): void {
    if (this.#machines.length >= mostWorkers) return;
    const node = `w${this.#machines.length}`;
    this.#all(({ cell }) => cell.worker(node as NodeId));
    this.#machines.push({
      node,
      life: 1,
      ends: 0,
      change: this.#machineChange(),
    });
  }

  /** Changes one property, so that no other hides it if it is overlooked. */
  #changeMachine(machine: Machine): void {
    const change = this.#machineChange();
    const { capacity: { cpuMilli = 0, memoryBytes = 0 } = {} } = change;
    const { capacity } = machine.change;
    const { pool, rack, labels, isDraining } = change;
    const changes: Partial<SidecarReport>[] = [
      { pool: pool! },
      { rack: rack! },
      { labels: labels! },
      { isDraining: isDraining! },
      { capacity: { ...capacity!, cpuMilli } },
      { capacity: { ...capacity!, memoryBytes } },
    ];
    machine.change = { ...machine.change, ...this.#pick(changes) };
  }

  #machineChange(): Partial<SidecarReport> {
    const cpuMilli = this.#pick([4_000, 8_000, 16_000]);
    return {
      pool: this.#chance(0.1) ? "other" : "pool",
      rack: this.#pick(racks),
      labels: this.#chance(0.5) ? ["a"] : ["b"],
      isDraining: this.#chance(0.1),
      capacity: {
        cpuMilli,
        memoryBytes: this.#pick([4, 8, 30]) * bytesPerGb,
        accelerators: this.#below(3),
      },
    };
  }

  #setQueue(name: string): void {
    const advice = { decideMs: 100, perWorkerMs: 1, validMs: 3_000 };
    const queue: Queue = {
      name,
      pool: this.#chance(0.15) ? "other" : "pool",
      priority: this.#below(3),
      maxAttempts: this.#pick([2, 3, 100]),
      stretch: 2,
      targetMs: 500,
      advice: name === "advised" ? advice : undefined,
    };
    this.#all(({ cell }) => cell.queues.set(name, queue));
  }

  #submit(): void {
    const count = 1 + this.#below(2);
    const steps = Array.from(
      { length: count },
      (_, index) => this.#step(index),
    );
    const id = `j${this.#jobs++}`;
    const schedule = this.#chance(0.1)
      ? {
        firstMs: this.fixtures[0]!.wallMs + this.#below(2_000),
        intervalMs: 700,
        count: 3,
      }
      : undefined;
    const queue = this.#pick(["q", "q", "batch", "advised"]);
    this.#all((fixture) => fixture.submit(id, steps, { queue, schedule }));
  }

  #step(index: number): StepDefinition {
    const kind = this.#below(10);
    const isFiller = kind >= 7;
    const isService = kind === 0;
    return CellFixture.step({
      count: 1 + this.#below(isFiller ? 8 : 5),
      after: index > 0 && this.#chance(0.7) ? [index - 1] : [],
      expectedMs: 500 + this.#below(3_000),
      resources: {
        cpuMilli: 250 * (1 + this.#below(12)),
        memoryBytes: this.#pick([0.1, 0.5, 2]) * bytesPerGb,
        accelerators: this.#chance(0.05) ? 1 : 0,
      },
      isService,
      isFiller,
      targetLatencyMs: isService && this.#chance(0.8) ? 100 : 0,
      image: this.#chance(0.9) ? `i${this.#below(4)}` : undefined,
      savesProgress: this.#chance(0.5),
      isGang: !isService && this.#chance(0.15),
      sameRack: this.#chance(0.1),
      label: this.#chance(0.15) ? "a" : undefined,
      dataRack: this.#chance(0.1) ? this.#pick(racks) : undefined,
      mostPerWorker: this.#chance(0.15) ? 1 + this.#below(2) : 0,
    });
  }

  #cancel(): void {
    const live = [...this.fixtures[0]!.cell.liveJobs];
    if (live.length === 0) return;
    const id: JobId = this.#pick(live).definition.id;
    this.#all((fixture) =>
      fixture.collect(fixture.cell.cancel(id, fixture.nowMs))
    );
  }

  /** Answers some of the queries to the advisor that the last tick sent. */
  #answerQueries(): void {
    for (const effect of this.fixtures[0]!.effects) {
      if (effect.kind !== "ask") continue;
      if (this.#chance(0.3)) {
        this.#all(({ cell, nowMs }) =>
          cell.advice.recordFailure(effect.step, nowMs)
        );
        continue;
      }
      const lives = effect.lives.filter(() => this.#chance(0.6));
      const tickets = new Map(lives.map((life) => [life, `t-${life}`]));
      this.#all(({ cell }) => cell.advice.recordAnswer(effect.step, tickets));
    }
  }

  #all(act: Action): void {
    for (const fixture of this.fixtures) act(fixture);
  }

  #chance(share: number): boolean {
    return this.#random.next() < share;
  }

  #below(limit: number): number {
    return Math.floor(this.#random.next() * limit);
  }

  #pick<T>(values: readonly T[]): T {
    return values[this.#below(values.length)]!;
  }
}
