import type { Clock } from "../../src/core/clock/clock.ts";

/** The progress of a runner's runs, in percent of their run times. */
export class RunProgress {
  readonly #runs = new Map<
    { percent: number },
    { startedAtMs: number; runMs: number }
  >();

  constructor(readonly clock: Clock) {}

  begin(run: { percent: number }, runMs: number): void {
    this.#runs.set(run, { startedAtMs: this.clock.nowMs(), runMs });
  }

  end(run: { percent: number }): void {
    this.#runs.delete(run);
  }

  update(): void {
    const nowMs = this.clock.nowMs();
    for (const [run, { startedAtMs, runMs }] of this.#runs) {
      const share = Math.min(1, (nowMs - startedAtMs) / runMs);
      run.percent = Math.floor(100 * share);
    }
  }
}
