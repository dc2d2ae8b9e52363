import type { Clock } from "../../src/core/clock/clock.ts";

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** A clock whose time passes only in `advance`. */
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

  /** Advances the time and wakes each sleeper when its time has come. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await runReadyTasks();
    while (true) {
      this.#sleepers.sort((a, b) => a.atMs - b.atMs);
      const [next] = this.#sleepers;
      if (next === undefined || next.atMs > untilMs) break;
      this.#sleepers.shift();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
      await runReadyTasks();
    }
    this.#nowMs = untilMs;
  }
}

/**
 * How many turns of the event loop ready code is given, since one continuation
 * may make others ready.
 */
const turnCount = 20;

/** Lets ready code run until all of it waits for the clock. */
async function runReadyTasks(): Promise<void> {
  for (let turn = 0; turn < turnCount; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
