import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { systemClock } from "../src/adapters/system_clock.ts";
import { LeaseTracker } from "../src/cellhost/lease_tracker.ts";
import type { RowWriter } from "../src/cellhost/row_writer.ts";
import { WaitingWatch } from "../src/cellhost/waiting_watch.ts";
import { Cell } from "../src/core/cell/cell.ts";
import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import type { Worker } from "../src/core/cell/worker.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunEnd } from "../src/core/jobs/run_end.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import { plainStep } from "../stand_ins/plain_step.ts";

/**
 * Measures the processor time of a keeper's decisions on virtual time: workers
 * of 16 cores with services, and twice the work that fits.
 *
 *   node build/bench/cell_cost_bench.mjs [WORKERS ...]
 *
 * "unchanged": a tick without any report; "reported": a tick after unchanged
 * reports; "report": one of these reports; "run": everything that one run
 * costs, with its submission, report and tick; "watch": the watch over waiting
 * tasks, per second.
 */
const defaultSizes = [11, 70, 160, 300];
const bytesPerGb = 1_073_741_824;
const capacity = {
  cpuMilli: 16_000,
  memoryBytes: 64 * bytesPerGb,
  accelerators: 0,
};
const tickMs = 50;
const reportIntervalMs = 450;
const warmUpMs = 8_000;
const measuredTicks = 200;
const serviceImages = 8;
const fillerImages = 12;
const shapes = 4;
/** Runs that end in a tick, for each worker. */
const endsPerWorker = 0.05;
const usPerMs = 1_000;

/** A cell whose workers run all they are told to until the bench ends it. */
class CellBench {
  readonly cell = new Cell({ stuckFactor: 1e9, stuckMinMs: 1e9 });
  nowMs = 1_000;
  #jobCount = 0;
  #endNumbers = new Map<NodeId, number>();

  constructor(readonly workers: number) {
    for (const [name, priority] of [["fast", 0], ["batch", 2]] as const) {
      this.cell.queues.set(name, {
        name,
        pool: "pool",
        priority,
        maxAttempts: 3,
        stretch: 2,
        targetMs: 1_000,
        advice: undefined,
      });
    }
    for (let index = 0; index < workers; index++) this.report(nodeOf(index));
    for (let index = 0; index < serviceImages; index++) {
      this.submit("fast", {
        count: Math.ceil(workers / serviceImages),
        isService: true,
        image: `service-${index}`,
        targetLatencyMs: 100,
      });
    }
    // One half of the work reserves its cores, the other one is fillers.
    for (let cores = 0; cores < workers * 32;) cores += this.submitNext();
  }

  /** Submits the next job; returns the cores that it asks for. */
  submitNext(): number {
    const kind = this.#jobCount % shapes;
    if (this.#jobCount % 2 === 0) {
      const cpuMilli = 500 + kind * 250;
      this.submit("fast", { count: 10 }, cpuMilli);
      return 10 * cpuMilli / 1_000;
    }
    const image = `filler-${this.#jobCount % fillerImages}`;
    const cpuMilli = 1_800;
    this.submit(
      "batch",
      { count: 20, isFiller: true, savesProgress: true, image },
      cpuMilli,
    );
    return 20 * cpuMilli / 1_000;
  }

  submit(
    queue: string,
    change: Partial<StepDefinition>,
    cpuMilli = 1_000,
  ): void {
    const resources = { cpuMilli, memoryBytes: bytesPerGb, accelerators: 0 };
    this.apply(this.cell.submit({
      id: `j${this.#jobCount++}` as JobId,
      queue,
      payload: "p",
      steps: [plainStep({ resources, expectedMs: 3_900, ...change })],
      schedule: undefined,
      receivedMs: this.nowMs,
    }, this.nowMs));
  }

  /** Reports all claims of a worker as running, but for those that ended. */
  report(node: NodeId, ends: readonly RunEnd[] = []): void {
    const ended = new Set(ends.map(({ task }) => task));
    const claims = [...this.cell.worker(node).claims.values()];
    const running = claims.filter(({ name }) => !ended.has(name)).map((
      { name, run, group },
    ) => ({
      task: name,
      run,
      checkpoint: "",
      percent: 0,
      figure: group.definition.isService
        ? 40
        : group.definition.resources.cpuMilli * 0.8,
    }));
    this.apply(this.cell.handleReport(node, {
      life: `${node}@1` as RunnerLife,
      pool: "pool",
      zone: "z",
      rack: `r${Number(node.slice(1)) % 8}`,
      labels: [],
      capacity,
      isDraining: false,
      isUp: true,
      isLapsed: false,
      running,
      ends,
      unexplained: 0,
      unsettled: [],
    }, this.nowMs));
  }

  /** Reports the end of the oldest run of a worker that is no service. */
  endRun(worker: Worker): void {
    for (const { name, run, group } of worker.claims.values()) {
      if (group.definition.isService) continue;
      const number = (this.#endNumbers.get(worker.node) ?? 0) + 1;
      this.#endNumbers.set(worker.node, number);
      const end = { number, task: name, run, outcome: "done", checkpoint: "" };
      this.report(worker.node, [end as RunEnd]);
      return;
    }
  }

  tick(): void {
    this.nowMs += tickMs;
    this.apply(this.cell.tick(this.nowMs, this.nowMs));
  }

  /** Lets the workers whose report is due in this tick report. */
  reportDue(tick: number): number {
    const ticks = reportIntervalMs / tickMs;
    let count = 0;
    for (let index = tick % ticks; index < this.workers; index += ticks) {
      this.report(nodeOf(index));
      count += 1;
    }
    return count;
  }

  apply(effects: Iterable<CellEffect>): void {
    for (const effect of effects) {
      if (effect.kind !== "start") continue;
      this.cell.markOrdered(effect.node, effect.command);
    }
  }
}

function nodeOf(index: number): NodeId {
  return `w${index}` as NodeId;
}

function timeMs(act: () => void): number {
  const startMs = performance.now();
  act();
  return performance.now() - startMs;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

/** The time of the watch over waiting tasks, per second of the cell's time. */
function measureWatch(bench: CellBench): number {
  const leases = new LeaseTracker({} as RowWriter, 10_000, systemClock);
  const log = new Logger("silent", {});
  const watch = new WaitingWatch(leases, log, new PrometheusMetrics());
  let watchMs = 0;
  for (let tick = 0; tick < measuredTicks; tick++) {
    bench.reportDue(tick);
    bench.tick();
    watchMs += timeMs(() => watch.update(bench.cell, bench.nowMs));
  }
  return watchMs / (measuredTicks * tickMs / 1_000);
}

function measure(workers: number): void {
  const bench = new CellBench(workers);
  for (let tick = 0; tick < warmUpMs / tickMs; tick++) {
    bench.reportDue(tick);
    bench.tick();
  }
  const unchanged: number[] = [];
  for (let tick = 0; tick < measuredTicks; tick++) {
    unchanged.push(timeMs(() => bench.tick()));
  }
  const reported: number[] = [];
  let reportMs = 0;
  let reports = 0;
  for (let tick = 0; tick < measuredTicks; tick++) {
    reportMs += timeMs(() => reports += bench.reportDue(tick));
    reported.push(timeMs(() => bench.tick()));
  }
  let runs = 0;
  let ended = 0;
  const all = [...bench.cell.workers.values()];
  const runsMs = timeMs(() => {
    for (let tick = 0; tick < measuredTicks; tick++) {
      for (; runs < tick * workers * endsPerWorker; runs++) {
        bench.endRun(all[runs % workers]!);
        if (++ended % 15 === 0) bench.submitNext();
      }
      bench.tick();
    }
  });
  const watchMs = measureWatch(bench);
  const texts = [
    `workers=${workers}`,
    `jobs=${bench.cell.liveJobs.size}`,
    `unchanged_ms=${medianOf(unchanged).toFixed(3)}`,
    `mean=${meanOf(unchanged).toFixed(3)}`,
    `reported_ms=${medianOf(reported).toFixed(3)}`,
    `mean=${meanOf(reported).toFixed(3)}`,
    `report_us=${(reportMs / reports * usPerMs).toFixed(1)}`,
    `run_us=${(runsMs / runs * usPerMs).toFixed(0)}`,
    `watch_ms_per_s=${watchMs.toFixed(2)}`,
  ];
  console.log(texts.join(" "));
}

const sizes = process.argv.slice(2).map(Number);
for (const workers of sizes.length > 0 ? sizes : defaultSizes) measure(workers);
