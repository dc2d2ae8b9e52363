import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { RunnerStandIn } from "./runner_stand_in.ts";
import type { SoakProcess } from "./soak_process.ts";
import type { StoreStandIn } from "./store_stand_in.ts";

const maxPauseMs = 1_500;
const maxDurationMs = 2_500;
const normalStoreDelayMs = 2;
const slowStoreDelayMs = 250;

/** Causes a fault for a time; returns a line that describes it. */
type Fault = (durationMs: number) => Promise<string>;

/** Starts random faults one after the other; they may overlap. */
export class FaultInjector {
  readonly #active = new Set<Promise<void>>();

  constructor(
    readonly store: StoreStandIn,
    readonly runners: readonly RunnerStandIn[],
    readonly processes: readonly SoakProcess[],
    readonly random: RandomSource,
    readonly recordFault: (line: string) => void,
  ) {}

  /** Injects faults for the duration, then waits until all have ended. */
  async run(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    while (performance.now() < untilMs) {
      await sleep(this.random.next() * maxPauseMs);
      const fault = this.#drawFault();
      const finished = fault(this.random.next() * maxDurationMs)
        .then((line) => this.recordFault(line))
        .finally(() => this.#active.delete(finished));
      this.#active.add(finished);
    }
    await Promise.all(this.#active);
  }

  #drawFault(): Fault {
    const { store } = this;
    const process = this.#pick(this.processes);
    const runner = this.#pick(this.runners);
    const faults: Fault[] = [
      (durationMs) => this.#signal(process, "SIGKILL", durationMs),
      (durationMs) => this.#signal(process, "SIGTERM", durationMs),
      async (durationMs) => {
        process.signal("SIGSTOP");
        await sleep(durationMs);
        process.signal("SIGCONT");
        return `${process.name} was paused for ${Math.round(durationMs)} ms`;
      },
      () => {
        for (const each of this.processes) each.signal("SIGKILL");
        return Promise.resolve("all processes were killed");
      },
      async (durationMs) => {
        store.model.isDown = true;
        await sleep(durationMs);
        store.model.isDown = false;
        return `the store was down for ${Math.round(durationMs)} ms`;
      },
      async (durationMs) => {
        store.isHung = true;
        await sleep(durationMs);
        store.isHung = false;
        return `the store did not answer for ${Math.round(durationMs)} ms`;
      },
      async (durationMs) => {
        store.delayMs = slowStoreDelayMs;
        await sleep(durationMs);
        store.delayMs = normalStoreDelayMs;
        return `the store was slow for ${Math.round(durationMs)} ms`;
      },
      async (durationMs) => {
        store.model.faults.push("lost", "lost", "late", "refused");
        await sleep(durationMs);
        store.model.applyDelayed();
        return "the store lost answers and applied an append late";
      },
      () => {
        runner.restart();
        return Promise.resolve(`${runner.name} crashed and restarted`);
      },
      async (durationMs) => {
        runner.model.faults.push("lost", "late", "ignored");
        await sleep(durationMs);
        runner.model.applyDelayed();
        return `${runner.name} lost answers and applied a command late`;
      },
      async (durationMs) => {
        runner.model.isSilent = true;
        await sleep(durationMs);
        runner.model.isSilent = false;
        return `${runner.name} did not answer for ${Math.round(durationMs)} ms`;
      },
    ];
    return this.#pick(faults);
  }

  async #signal(
    process: SoakProcess,
    name: NodeJS.Signals,
    durationMs: number,
  ): Promise<string> {
    process.signal(name);
    await sleep(durationMs);
    return `${process.name} received ${name}`;
  }

  #pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.random.next() * list.length)]!;
  }
}
