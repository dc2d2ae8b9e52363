import type { Clock } from "../core/clock/clock.ts";

/** Pauses that end early when woken. */
export class WakeablePause {
  #wake: () => void = () => {};

  constructor(readonly clock: Clock) {}

  /** Ends the pause that is under way, if there is one. */
  wake(): void {
    this.#wake();
  }

  /** Sleeps for the time, or until woken. */
  async sleep(pauseMs: number): Promise<void> {
    const woken = new Promise<void>((resolve) => {
      this.#wake = resolve;
    });
    await Promise.race([this.clock.sleep(pauseMs), woken]);
  }
}
