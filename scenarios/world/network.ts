import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { Scheduler } from "./scheduler.ts";

/** Carries messages between named parties, with delays, losses and cuts. */
export class Network {
  delayMs = 1;
  lossRatio = 0;
  readonly #cuts = new Set<string>();

  constructor(
    readonly scheduler: Scheduler,
    readonly random: RandomSource,
  ) {}

  /** Stops messages between the two, both ways. */
  cut(a: string, b: string): void {
    this.#cuts.add(pairOf(a, b));
  }

  /** Lets messages between the two pass again. */
  heal(a: string, b: string): void {
    this.#cuts.delete(pairOf(a, b));
  }

  /** Lets all messages pass again. */
  healAll(): void {
    this.#cuts.clear();
    this.lossRatio = 0;
  }

  /** Delivers the message after a delay, if nothing is in its way. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.random.next() < this.lossRatio) return;
    const delayMs = this.delayMs * (0.5 + this.random.next());
    this.scheduler.after(delayMs, () => {
      if (!this.#cuts.has(pairOf(from, to))) deliver();
    });
  }
}

function pairOf(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
