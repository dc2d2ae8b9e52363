import type { Clock } from "../../src/core/clock/clock.ts";

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/**
 * How many turns of the event loop ready code gets by default, since one
 * continuation may make others ready. One is enough for code that only awaits
 * promises and this clock.
 */
const defaultTurns = 20;

/** A clock whose time passes only in `advance`. */
export class VirtualClock implements Clock {
  #nowMs = 1_000;
  readonly #sleepers: Sleeper[] = [];

  constructor(readonly turns = defaultTurns) {}

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

  nextTurn(): Promise<void> {
    return this.sleep(0);
  }

  /** Advances the time and wakes each sleeper when its time has come. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await runReadyTasks(this.turns);
    while (true) {
      this.#sleepers.sort((a, b) => a.atMs - b.atMs);
      const [next] = this.#sleepers;
      if (next === undefined || next.atMs > untilMs) break;
      this.#sleepers.shift();
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.wake();
      await runReadyTasks(this.turns);
    }
    this.#nowMs = untilMs;
  }
}

/** Lets ready code run until all of it waits for the clock. */
async function runReadyTasks(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
