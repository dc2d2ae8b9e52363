import type { HistoryWorker } from "./history_worker.ts";

const intervalMs = 1_000;
const maxDelayMs = 500;

/** The heartbeats of a worker's runner. */
export class HistoryHeartbeats {
  isDraining = false;
  cpuMilli = 4_000;
  #sequence = 0;
  /** Until when none arrives, by the world's clock. */
  #unheardUntilMs = 0;

  constructor(readonly worker: HistoryWorker) {}

  get isUnheard(): boolean {
    return this.worker.world.nowMs() < this.#unheardUntilMs;
  }

  /** Starts over, for a new life of the runner. */
  beginLife(): void {
    this.isDraining = false;
    this.#sequence = 0;
    this.sendSoon();
  }

  /** Loses those of a time; one comes right after it. */
  keepUnheard(forMs: number): void {
    const { world } = this.worker;
    this.#unheardUntilMs = Math.max(
      this.#unheardUntilMs,
      world.nowMs() + forMs,
    );
    void world.sleep(forMs).then(() => this.#send());
  }

  /** Delivers one that the present life has sent, whatever becomes of it. */
  deliverLate(delayMs: number): void {
    const { cpuMilli, isDraining, worker } = this;
    const { instance, bornMs } = worker.runner;
    const sequence = this.#sequence;
    const runner = { instance, bornMs };
    void worker.world.sleep(delayMs).then(() => {
      const { sidecar } = worker;
      void sidecar?.clock.awake().then(() =>
        sidecar.sendHeartbeat(sequence, isDraining, cpuMilli, runner)
      );
    });
  }

  /** Ends what `keepUnheard` began. */
  hear(): void {
    this.#unheardUntilMs = 0;
  }

  sendSoon(): void {
    const { random, world } = this.worker;
    void world.sleep(random.next() * maxDelayMs).then(() => this.#send());
  }

  async run(): Promise<void> {
    while (true) {
      await this.worker.world.sleep(intervalMs);
      this.#send();
    }
  }

  #send(): void {
    this.#sequence += 1;
    const { cpuMilli, isDraining, worker } = this;
    const { runner, sidecar } = worker;
    const sequence = this.#sequence;
    const { bornMs } = runner;
    if (worker.hasLeft || this.isUnheard) return;
    void sidecar?.clock.awake().then(() => {
      if (bornMs !== runner.bornMs || runner.hasExited) return;
      sidecar.sendHeartbeat(sequence, isDraining, cpuMilli);
    });
  }
}
