import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { RunnerStandIn } from "./runner_stand_in.ts";
import type { SoakProcess } from "./process.ts";
import type { StoreStandIn } from "./store_stand_in.ts";

const mostPauseMs = 1_500;
const mostLengthMs = 2_500;
const usualStoreMs = 2;
const slowStoreMs = 250;

type Fault = (lengthMs: number) => Promise<string>;

/** Draws faults one after the other; they overlap as their lengths will. */
export class Faults {
  readonly #open = new Set<Promise<void>>();

  constructor(
    readonly store: StoreStandIn,
    readonly runners: readonly RunnerStandIn[],
    readonly processes: readonly SoakProcess[],
    readonly random: RandomSource,
    readonly note: (line: string) => void,
  ) {}

  /** Lets faults happen for so long, then waits until all are over. */
  async run(forMs: number): Promise<void> {
    const untilMs = performance.now() + forMs;
    while (performance.now() < untilMs) {
      await sleep(this.random.next() * mostPauseMs);
      const fault = this.#draw();
      const over = fault(this.random.next() * mostLengthMs)
        .then((line) => this.note(line))
        .finally(() => this.#open.delete(over));
      this.#open.add(over);
    }
    await Promise.all(this.#open);
  }

  #draw(): Fault {
    const { store } = this;
    const process = this.#one(this.processes);
    const runner = this.#one(this.runners);
    const faults: Fault[] = [
      (lengthMs) => this.#signal(process, "SIGKILL", lengthMs),
      (lengthMs) => this.#signal(process, "SIGTERM", lengthMs),
      async (lengthMs) => {
        process.signal("SIGSTOP");
        await sleep(lengthMs);
        process.signal("SIGCONT");
        return `${process.name} stood still for ${Math.round(lengthMs)} ms`;
      },
      () => {
        for (const each of this.processes) each.signal("SIGKILL");
        return Promise.resolve("all processes were killed");
      },
      async (lengthMs) => {
        store.model.isDown = true;
        await sleep(lengthMs);
        store.model.isDown = false;
        return `the store was down for ${Math.round(lengthMs)} ms`;
      },
      async (lengthMs) => {
        store.isHung = true;
        await sleep(lengthMs);
        store.isHung = false;
        return `the store was silent for ${Math.round(lengthMs)} ms`;
      },
      async (lengthMs) => {
        store.delayMs = slowStoreMs;
        await sleep(lengthMs);
        store.delayMs = usualStoreMs;
        return `the store was slow for ${Math.round(lengthMs)} ms`;
      },
      async (lengthMs) => {
        store.model.faults.push("lost", "lost", "late", "refused");
        await sleep(lengthMs);
        store.model.carryOutLate();
        return "the store lost answers and did an append late";
      },
      () => {
        runner.reborn();
        return Promise.resolve(`${runner.name} began a new life`);
      },
      async (lengthMs) => {
        runner.model.faults.push("lost", "late", "ignored");
        await sleep(lengthMs);
        runner.model.carryOutLate();
        return `${runner.name} lost answers and did an order late`;
      },
      async (lengthMs) => {
        runner.model.isSilent = true;
        await sleep(lengthMs);
        runner.model.isSilent = false;
        return `${runner.name} was silent for ${Math.round(lengthMs)} ms`;
      },
    ];
    return this.#one(faults);
  }

  async #signal(
    process: SoakProcess,
    name: NodeJS.Signals,
    lengthMs: number,
  ): Promise<string> {
    process.signal(name);
    await sleep(lengthMs);
    return `${process.name} got ${name}`;
  }

  #one<T>(list: readonly T[]): T {
    return list[Math.floor(this.random.next() * list.length)]!;
  }
}
