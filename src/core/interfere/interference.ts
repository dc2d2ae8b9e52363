import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import { Baseline } from "./baseline.ts";
import type { Disturbance } from "./disturbance.ts";
import { disturbanceChart } from "./disturbance_chart.ts";
import type { InterferenceAction } from "./interference_action.ts";
import type { InterferenceOptions } from "./interference_options.ts";
import type { ServiceLoad } from "./service_load.ts";
import { SlowdownTable } from "./slowdown_table.ts";

/** How long a worker counts as a service's after it was last measured. */
const serviceKeptMs = 60_000;

type Actions = Generator<InterferenceAction>;

/**
 * Keeps services prompt beside batch tasks: learns which templates slow which
 * services, and acts in steps. Throttle first, then move what has a better
 * place, then keep the pair apart.
 */
export class Interference {
  readonly table = new SlowdownTable();
  readonly #baseline = new Baseline();
  readonly #disturbances = new Map<WorkerId, Disturbance>();
  readonly #services = new Map<WorkerId, { name: string; seenAtMs: number }>();

  constructor(public options: InterferenceOptions) {}

  /** How fast a task may run. */
  shareOf(task: TaskRow): number {
    const disturbance = task.worker && this.#disturbances.get(task.worker);
    const isThrottled = disturbance?.throttled.has(task.id) ?? false;
    return isThrottled ? this.options.throttledShare : 1;
  }

  /** What the template is known to cost the service on the worker. */
  penalty(worker: WorkerId, template: string, nowMs: number): number {
    const service = this.#services.get(worker);
    if (service === undefined) return 0;
    if (nowMs - service.seenAtMs > serviceKeptMs) return 0;
    return this.table.of(service.name, template, nowMs) - 1;
  }

  /** Whether template and worker are kept apart. */
  isApart(worker: WorkerId, template: string, nowMs: number): boolean {
    const penalty = this.penalty(worker, template, nowMs);
    return penalty >= this.options.apartSlowdown - 1;
  }

  /** Takes late measurements of all services and yields what to do. */
  *observe(
    ledger: CellLedger,
    loads: readonly ServiceLoad[],
    nowMs: number,
  ): Actions {
    for (const load of loads) {
      const seen = { name: load.service, seenAtMs: nowMs };
      this.#services.set(load.worker, seen);
      const worker = ledger.workers.get(load.worker);
      if (worker === undefined) continue;
      const ratio = this.#baseline.ratio(load.service, load.latencyMs);
      const tasks = batchTasks(ledger, worker);
      this.#learn(ledger, load.service, tasks, ratio, nowMs);
      yield* this.#act(ledger, load, worker, tasks, ratio, nowMs);
    }
  }

  #learn(
    ledger: CellLedger,
    service: string,
    tasks: readonly TaskRow[],
    ratio: number,
    nowMs: number,
  ): void {
    const atSpeed = tasks.filter((task) => this.shareOf(task) === 1);
    if (atSpeed.length < tasks.length) return;
    const templates = new Set(atSpeed.map((task) => templateOf(ledger, task)));
    this.table.observe(service, [...templates], ratio, nowMs);
  }

  *#act(
    ledger: CellLedger,
    load: ServiceLoad,
    worker: WorkerRow,
    tasks: readonly TaskRow[],
    ratio: number,
    nowMs: number,
  ): Actions {
    const { options } = this;
    const disturbance = this.#of(worker.id, nowMs);
    const elapsedMs = nowMs - disturbance.sinceMs;
    const isStrained = ratio >= options.strainedRatio;
    const isEased = ratio < options.easedRatio;
    switch (disturbance.state) {
      case "calm":
        if (isStrained) step(disturbance, "STRAINED", nowMs);
        return;
      case "strained":
        if (isEased) step(disturbance, "EASED", nowMs);
        else if (isStrained && elapsedMs >= options.throttleAfterMs) {
          step(disturbance, "PERSISTED", nowMs);
          yield* this.#throttle(ledger, load, disturbance, tasks, nowMs);
        }
        return;
      case "throttled":
        if (isEased) step(disturbance, "EASED", nowMs);
        else if (isStrained && elapsedMs >= options.moveAfterMs) {
          step(disturbance, "PERSISTED", nowMs);
        }
        return;
      case "moving":
        yield* this.#move(ledger, disturbance, nowMs);
        step(disturbance, isEased ? "EASED" : "MOVED", nowMs);
        return;
      case "recovering":
        if (isStrained) {
          step(disturbance, "STRAINED", nowMs);
          yield* this.#throttle(ledger, load, disturbance, tasks, nowMs);
        } else if (elapsedMs >= options.recoverAfterMs) {
          step(disturbance, "RECOVERED", nowMs);
          yield* this.#restore(worker.id, disturbance);
        }
        return;
    }
  }

  /** Throttles the tasks of the template that is blamed most. */
  *#throttle(
    ledger: CellLedger,
    load: ServiceLoad,
    disturbance: Disturbance,
    tasks: readonly TaskRow[],
    nowMs: number,
  ): Actions {
    let worst = "";
    let most = this.options.apartSlowdown;
    for (const task of tasks) {
      const template = templateOf(ledger, task);
      if (!this.table.isKnown(load.service, template)) continue;
      const slowdown = this.table.of(load.service, template, nowMs);
      if (slowdown < most || disturbance.throttled.has(task.id)) continue;
      most = slowdown;
      worst = template;
    }
    for (const task of tasks) {
      if (templateOf(ledger, task) !== worst) continue;
      disturbance.throttled.add(task.id);
      yield { kind: "throttle", task: task.id, worker: load.worker };
    }
  }

  /** Moves throttled tasks for which another worker is a better place. */
  *#move(
    ledger: CellLedger,
    disturbance: Disturbance,
    nowMs: number,
  ): Actions {
    for (const id of disturbance.throttled) {
      const task = ledger.tasks.get(id);
      if (task?.worker === undefined) continue;
      const template = templateOf(ledger, task);
      const hasBetter = [...ledger.workers.keys()].some((worker) =>
        worker !== task.worker && !this.isApart(worker, template, nowMs)
      );
      if (hasBetter) yield { kind: "move", task: id, worker: task.worker };
    }
  }

  *#restore(worker: WorkerId, disturbance: Disturbance): Actions {
    for (const task of disturbance.throttled) {
      yield { kind: "restore", task, worker };
    }
    disturbance.throttled.clear();
  }

  #of(worker: WorkerId, nowMs: number): Disturbance {
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

function batchTasks(ledger: CellLedger, worker: WorkerRow): TaskRow[] {
  return [...worker.tasks]
    .map((id) => ledger.tasks.get(id))
    .filter((task) => task !== undefined)
    .filter((task) => !(ledger.jobs.get(task.job)?.job.urgent ?? true));
}

function templateOf(ledger: CellLedger, task: TaskRow): string {
  return ledger.jobs.get(task.job)?.job.template ?? "";
}
