import { PaceCalculator } from "../core/interfere/pace_calculator.ts";
import type { FillerSample } from "../core/interfere/filler_sample.ts";
import type { ServiceSample } from "../core/interfere/service_sample.ts";
import type { RunStatus } from "../core/jobs/run_status.ts";
import type { ServicePressure } from "../link/service_pressure.ts";
import { callRunner } from "./call_runner.ts";
import type { GateContext } from "./gate_context.ts";
import type { Run } from "./run.ts";
import type { RunTracker } from "./run_tracker.ts";
import { runKey } from "../core/jobs/run_key.ts";

/**
 * Runners report latency and CPU use over the last half second, so much more
 * frequent updates would repeat the same data.
 */
const updateIntervalMs = 350;

/** A service's latency when idle, relative to its target, if not known. */
const defaultFloor = 0.25;

/** Sets the pace of a runner's fillers so that services meet their targets. */
export class PaceController {
  /** The pressures of filler images on service images, from the keeper. */
  pressures: readonly ServicePressure[] = [];
  readonly #calculator = new PaceCalculator();
  #updatedAtMs = -Infinity;

  constructor(readonly context: GateContext, readonly tracker: RunTracker) {}

  /** Forgets all paces, for a new life of the runner. */
  reset(): void {
    this.#calculator.reset();
  }

  /** Updates the paces from the runner's newest list of runs. */
  update(running: readonly RunStatus[]): void {
    const nowMs = this.context.clock.nowMs();
    if (nowMs - this.#updatedAtMs < updateIntervalMs) return;
    this.#updatedAtMs = nowMs;
    const statuses = new Map(running.map((run) => [runKey(run), run]));
    const { services, fillers } = this.#samples(statuses);
    this.#calculator.update(services, fillers, nowMs);
    for (const [key, run] of this.tracker.runs) {
      if (
        !run.startCommand?.isFiller || !statuses.has(key) || run.isSettingPace
      ) continue;
      const pace = this.#calculator.paceOf(run.startCommand.image ?? "");
      if (run.pace !== pace) void this.#setPace(run, pace);
    }
  }

  /** Samples the services and, summed by image, the fillers. */
  #samples(
    statuses: ReadonlyMap<string, RunStatus>,
  ): { services: ServiceSample[]; fillers: FillerSample[] } {
    const { capacity } = this.context.lastHeartbeat ?? {};
    const capacityMilli = Math.max(1, capacity?.cpuMilli ?? 1);
    const services: ServiceSample[] = [];
    const fillers = new Map<string, FillerSample>();
    for (const [key, { startCommand }] of this.tracker.runs) {
      const status = statuses.get(key);
      if (startCommand === undefined || status === undefined) continue;
      const { isFiller, isService, targetLatencyMs, image = "" } = startCommand;
      const { figure } = status;
      if (isFiller) {
        const { cpuMilli } = startCommand.resources;
        const known = fillers.get(image) ?? { image, used: 0, asked: 0 };
        fillers.set(image, {
          image,
          used: known.used + figure / capacityMilli,
          asked: known.asked + cpuMilli / capacityMilli,
        });
      } else if (isService && targetLatencyMs > 0) {
        services.push({
          part: figure / targetLatencyMs,
          ...this.#pressuresOn(image),
        });
      }
    }
    return { services, fillers: [...fillers.values()] };
  }

  #pressuresOn(image: string): Omit<ServiceSample, "part"> {
    const known = this.pressures.find(({ service }) => service === image);
    return {
      floor: known?.floor ?? defaultFloor,
      pressures: new Map(known?.fillers ?? []),
    };
  }

  async #setPace(run: Run, percent: number): Promise<void> {
    run.isSettingPace = true;
    const { context } = this;
    const { instance, bornMs } = context.lastHeartbeat!;
    context.log.info("pace", { task: run.task, percent, was: run.pace });
    const isKnownLife = () => context.lastHeartbeat?.bornMs === bornMs;
    const { task, run: number } = run;
    const sent = await callRunner(context, "pace", isKnownLife, () => {
      const { epoch, runner } = context;
      return runner.pace({ instance, epoch, task, run: number, percent });
    });
    if (sent === undefined || !isKnownLife()) return;
    const { answer, sentAtMs } = sent;
    context.recordClock(answer, sentAtMs);
    run.isSettingPace = false;
    if (answer.isOk) run.pace = percent;
  }
}
