import type { Clock } from "../core/clock/clock.ts";
import type { WaitingRow } from "./waiting_row.ts";

/** Appends batches of rows one after the other, until none is ready. */
export class AppendLoop {
  #isRunning = false;

  /** `append` returns how long to wait before the next one. */
  constructor(
    readonly next: () => readonly WaitingRow[],
    readonly append: (batch: readonly WaitingRow[]) => Promise<number>,
    readonly clock: Clock,
  ) {}

  async run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    let batch = this.next();
    while (batch.length > 0) {
      const pauseMs = await this.append(batch);
      if (pauseMs > 0) await this.clock.sleep(pauseMs);
      batch = this.next();
    }
    this.#isRunning = false;
  }
}
