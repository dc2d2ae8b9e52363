import type { Clock } from "../../src/core/clock/clock.ts";

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock that stands until it is told to go on. */
export class VirtualClock implements Clock {
  #nowMs = 1_000;
  readonly #sleepers: Sleeper[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return 1_700_000_000_000 + this.#nowMs;
  }

  sleep(ms: number): Promise<void> {
    return new Promise((wake) => {
      this.#sleepers.push({ atMs: this.#nowMs + ms, wake });
    });
  }

  /** Goes on, waking each sleeper at its time. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await settle();
    while (true) {
      this.#sleepers.sort((a, b) => a.atMs - b.atMs);
      const [next] = this.#sleepers;
      if (next === undefined || next.atMs > untilMs) break;
      this.#sleepers.shift();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
      await settle();
    }
    this.#nowMs = untilMs;
  }
}

const turns = 20;

/** Lets what is ready run until it waits for time. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < turns; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
