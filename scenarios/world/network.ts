import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { EventQueue } from "./event_queue.ts";

/**
 * Carries messages between parties (peers, workers, "log", "entry") with
 * delays, random losses and partitions.
 */
export class Network {
  /** Mean one-way delay; each message takes 50 to 150 % of it. */
  delayMs = 1;
  lossRatio = 0;
  readonly #partitions = new Set<string>();

  constructor(
    readonly eventQueue: EventQueue,
    readonly random: RandomSource,
  ) {}

  /** Drops all messages between the two parties, in both directions. */
  cut(a: string, b: string): void {
    this.#partitions.add(linkKey(a, b));
  }

  /** Ends the partition between the two parties. */
  heal(a: string, b: string): void {
    this.#partitions.delete(linkKey(a, b));
  }

  /** Ends all partitions and random losses. */
  healAll(): void {
    this.#partitions.clear();
    this.lossRatio = 0;
  }

  /** Delivers the message after a delay, unless it is lost or dropped. */
  send(from: string, to: string, deliver: () => void): void {
    if (this.random.next() < this.lossRatio) return;
    const delayMs = this.delayMs * (0.5 + this.random.next());
    this.eventQueue.after(delayMs, () => {
      if (!this.#partitions.has(linkKey(from, to))) deliver();
    });
  }
}

function linkKey(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
