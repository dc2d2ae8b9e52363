import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import { LatencyBaseline } from "./latency_baseline.ts";
import type { Disturbance } from "./disturbance.ts";
import { disturbanceChart } from "./disturbance_chart.ts";
import type { InterferenceAction } from "./interference_action.ts";
import type { InterferenceOptions } from "./interference_options.ts";
import type { ServiceLatency } from "./service_latency.ts";
import { SlowdownTable } from "./slowdown_table.ts";

/** How long a worker counts as running a service after its last measurement. */
const serviceRetentionMs = 60_000;

type Actions = Generator<InterferenceAction>;

/**
 * Protects the latency of services that share workers with batch tasks. It
 * learns which templates slow which services and escalates: it throttles tasks,
 * then moves those for which a better worker exists. New tasks of a template
 * that slows a service much are not placed on that service's workers.
 */
export class InterferenceController {
  readonly slowdowns = new SlowdownTable();
  readonly #baseline = new LatencyBaseline();
  readonly #disturbances = new Map<WorkerId, Disturbance>();
  readonly #services = new Map<WorkerId, { name: string; seenAtMs: number }>();

  constructor(public options: InterferenceOptions) {}

  /** Returns the share of its speed at which a task may run. */
  speedShareOf(task: TaskRow): number {
    const disturbance = task.worker && this.#disturbances.get(task.worker);
    const isThrottled = disturbance?.throttled.has(task.id) ?? false;
    return isThrottled ? this.options.throttledShare : 1;
  }

  /** Returns the known slowdown, less 1, of the service on the worker. */
  penalty(worker: WorkerId, template: string, nowMs: number): number {
    const service = this.#services.get(worker);
    if (service === undefined) return 0;
    if (nowMs - service.seenAtMs > serviceRetentionMs) return 0;
    return this.slowdowns.slowdownOf(service.name, template, nowMs) - 1;
  }

  /** Whether tasks of the template must stay off the worker. */
  mustSeparate(worker: WorkerId, template: string, nowMs: number): boolean {
    const penalty = this.penalty(worker, template, nowMs);
    return penalty >= this.options.apartSlowdown - 1;
  }

  /** Processes recent latencies of all services and yields what to do. */
  *observe(
    ledger: CellLedger,
    loads: readonly ServiceLatency[],
    nowMs: number,
  ): Actions {
    for (const load of loads) {
      const seen = { name: load.service, seenAtMs: nowMs };
      this.#services.set(load.worker, seen);
      const worker = ledger.workers.get(load.worker);
      if (worker === undefined) continue;
      const ratio = this.#baseline.observe(load.service, load.latencyMs);
      const tasks = batchTasks(ledger, worker);
      this.#learn(ledger, load.service, tasks, ratio, nowMs);
      yield* this.#act(ledger, load, worker, tasks, ratio, nowMs);
    }
  }

  /** Learns from the measurement only if none of the tasks is throttled. */
  #learn(
    ledger: CellLedger,
    service: string,
    tasks: readonly TaskRow[],
    ratio: number,
    nowMs: number,
  ): void {
    const unthrottled = tasks.filter((task) => this.speedShareOf(task) === 1);
    if (unthrottled.length < tasks.length) return;
    const templates = new Set(
      unthrottled.map((task) => templateOf(ledger, task)),
    );
    this.slowdowns.observe(service, [...templates], ratio, nowMs);
  }

  /** Steps the disturbance of one worker and yields the actions due. */
  *#act(
    ledger: CellLedger,
    load: ServiceLatency,
    worker: WorkerRow,
    tasks: readonly TaskRow[],
    ratio: number,
    nowMs: number,
  ): Actions {
    const { options } = this;
    const disturbance = this.#disturbanceOf(worker.id, nowMs);
    const elapsedMs = nowMs - disturbance.sinceMs;
    const isDegraded = ratio >= options.strainedRatio;
    const isCleared = ratio < options.easedRatio;
    switch (disturbance.state) {
      case "normal":
        if (isDegraded) step(disturbance, "DEGRADED", nowMs);
        return;
      case "degraded":
        if (isCleared) step(disturbance, "CLEARED", nowMs);
        else if (isDegraded && elapsedMs >= options.throttleAfterMs) {
          step(disturbance, "PERSISTED", nowMs);
          yield* this.#throttle(ledger, load, disturbance, tasks, nowMs);
        }
        return;
      case "throttled":
        if (isCleared) step(disturbance, "CLEARED", nowMs);
        else if (isDegraded && elapsedMs >= options.moveAfterMs) {
          step(disturbance, "PERSISTED", nowMs);
        }
        return;
      case "moving":
        yield* this.#move(ledger, disturbance, nowMs);
        step(disturbance, isCleared ? "CLEARED" : "MOVED", nowMs);
        return;
      case "recovering":
        if (isDegraded) {
          step(disturbance, "DEGRADED", nowMs);
          yield* this.#throttle(ledger, load, disturbance, tasks, nowMs);
        } else if (elapsedMs >= options.recoverAfterMs) {
          step(disturbance, "RECOVERED", nowMs);
          yield* this.#restore(worker.id, disturbance);
        }
        return;
    }
  }

  /** Throttles the tasks of the template that slows the service most. */
  *#throttle(
    ledger: CellLedger,
    load: ServiceLatency,
    disturbance: Disturbance,
    tasks: readonly TaskRow[],
    nowMs: number,
  ): Actions {
    let worst = "";
    let highest = this.options.apartSlowdown;
    for (const task of tasks) {
      const template = templateOf(ledger, task);
      if (!this.slowdowns.hasEnoughSamples(load.service, template)) continue;
      const slowdown = this.slowdowns.slowdownOf(load.service, template, nowMs);
      if (slowdown < highest || disturbance.throttled.has(task.id)) continue;
      highest = slowdown;
      worst = template;
    }
    for (const task of tasks) {
      if (templateOf(ledger, task) !== worst) continue;
      disturbance.throttled.add(task.id);
      yield { kind: "throttle", task: task.id, worker: load.worker };
    }
  }

  /** Moves throttled tasks that may run on another worker. */
  *#move(
    ledger: CellLedger,
    disturbance: Disturbance,
    nowMs: number,
  ): Actions {
    for (const id of disturbance.throttled) {
      const task = ledger.tasks.get(id);
      if (task?.worker === undefined) continue;
      const template = templateOf(ledger, task);
      const hasAlternative = [...ledger.workers.keys()].some((worker) =>
        worker !== task.worker && !this.mustSeparate(worker, template, nowMs)
      );
      if (hasAlternative) yield { kind: "move", task: id, worker: task.worker };
    }
  }

  *#restore(worker: WorkerId, disturbance: Disturbance): Actions {
    for (const task of disturbance.throttled) {
      yield { kind: "restore", task, worker };
    }
    disturbance.throttled.clear();
  }

  #disturbanceOf(worker: WorkerId, nowMs: number): Disturbance {
    const known = this.#disturbances.get(worker);
    if (known !== undefined) return known;
    const disturbance: Disturbance = {
      state: disturbanceChart.initial,
      sinceMs: nowMs,
      throttled: new Set<TaskId>(),
    };
    this.#disturbances.set(worker, disturbance);
    return disturbance;
  }
}

/** Enters the state that follows the event, if the state allows it. */
function step(
  disturbance: Disturbance,
  event: Parameters<typeof disturbanceChart.next>[1],
  nowMs: number,
): void {
  const next = disturbanceChart.next(disturbance.state, event);
  if (next === undefined) return;
  disturbance.state = next;
  disturbance.sinceMs = nowMs;
}

/** Returns the worker's tasks of jobs that are not urgent. */
function batchTasks(ledger: CellLedger, worker: WorkerRow): TaskRow[] {
  return [...worker.tasks]
    .map((id) => ledger.tasks.get(id))
    .filter((task) => task !== undefined)
    .filter((task) => !(ledger.jobs.get(task.job)?.job.urgent ?? true));
}

function templateOf(ledger: CellLedger, task: TaskRow): string {
  return ledger.jobs.get(task.job)?.job.template ?? "";
}
