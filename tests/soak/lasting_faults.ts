import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import type { CalmTracker } from "./calm_tracker.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { SoakProcess } from "./soak_process.ts";

/** How long the entries are away after all of them were killed. */
const entriesAwayMs = 2_000;
const sidecarAwayMs = 500;
/** From a runner's end to the SIGTERM of its sidecar. */
const sidecarEndsAfterMs = 1_000;
const shares = { hang: 0.75, killOnStop: 0.4, allSidecars: 0.25, crash: 0.3 };

/** Injects series of overlapping faults around a runner that leaves. */
export class LastingFaults {
  /** Runners that are leaving, away or down, by index. */
  readonly #busy = new Set<number>();
  readonly #returns: Promise<void>[] = [];

  constructor(
    readonly deployment: SoakDeployment,
    readonly calm: CalmTracker,
    readonly random: RandomSource,
    readonly record: (line: string) => void,
    /** Chooses what a killed or new process runs next. */
    readonly chooseProgram: (process: SoakProcess) => void,
  ) {}

  /** Plays one series, and returns when the last of its faults has ended. */
  async runSeries(): Promise<void> {
    const drainMs = this.#between(300, 3_000);
    const killsAtMs = this.#between(1_000, 3_000);
    // So it drains, leaves or has left when the entries are killed.
    const leavesAtMs = this.#between(0, killsAtMs + 500);
    const hangsForMs = killsAtMs + this.#between(0, 500);
    const faults = [
      sleep(leavesAtMs).then(() => this.#leave(drainMs)),
      sleep(killsAtMs).then(() => this.#killEntries()),
    ];
    if (this.#draws(shares.hang)) faults.push(this.#hang(hangsForMs));
    if (this.#draws(shares.killOnStop)) this.#killOnStop();
    if (this.#draws(shares.allSidecars)) {
      faults.push(sleep(killsAtMs).then(() => this.#killSidecars()));
    }
    const crashesAtMs = this.#between(0, killsAtMs + entriesAwayMs);
    const downMs = this.#between(3_000, 9_000);
    if (this.#draws(shares.crash)) {
      faults.push(sleep(crashesAtMs).then(() => this.#crash(downMs)));
    }
    await Promise.all(faults);
    for (const runner of this.deployment.runners) {
      runner.onNextStop = undefined;
    }
  }

  /** Waits until the runners that left or crashed have been replaced. */
  async finish(): Promise<void> {
    await Promise.all(this.#returns);
  }

  async #leave(drainMs: number): Promise<void> {
    const awayMs = this.#between(5_000, 14_000);
    const index = this.#pickRunner();
    if (index === undefined) return;
    const runner = this.deployment.runners[index]!;
    const sidecar = this.deployment.sidecars[index]!;
    this.#busy.add(index);
    this.record(`${runner.name} drains for ${Math.round(drainMs)} ms`);
    const isConfirmed = await runner.leave(drainMs);
    this.record(`${runner.name} has left, confirmed: ${isConfirmed}`);
    const returns = async () => {
      await sleep(sidecarEndsAfterMs);
      sidecar.halt();
      this.record(`${sidecar.name} received SIGTERM`);
      await sleep(awayMs);
      this.chooseProgram(sidecar);
      sidecar.resume();
      runner.arrive();
      this.record(`a new runner begins as ${runner.name}`);
      this.#busy.delete(index);
    };
    this.#returns.push(returns());
  }

  async #killEntries(): Promise<void> {
    await this.calm.during(async () => {
      this.record("all entries are killed");
      for (const entry of this.deployment.entries) {
        this.chooseProgram(entry);
        entry.kill(entriesAwayMs);
      }
      await sleep(entriesAwayMs);
      this.record("all entries begin anew");
    });
  }

  async #killSidecars(): Promise<void> {
    await this.calm.during(async () => {
      this.record("all sidecars are killed");
      for (const sidecar of this.deployment.sidecars) {
        this.chooseProgram(sidecar);
        sidecar.kill(sidecarAwayMs);
      }
      await sleep(sidecarAwayMs);
    });
  }

  #killOnStop(): void {
    for (const [index, runner] of this.deployment.runners.entries()) {
      const sidecar = this.deployment.sidecars[index]!;
      runner.onNextStop = () => {
        for (const each of this.deployment.runners) each.onNextStop = undefined;
        this.record(`${sidecar.name} is killed while it stops a run`);
        this.chooseProgram(sidecar);
        sidecar.kill(sidecarAwayMs);
        void this.calm.during(() => sleep(sidecarAwayMs));
      };
    }
  }

  async #hang(durationMs: number): Promise<void> {
    const { store } = this.deployment;
    await this.calm.during(async () => {
      this.record(`the store hangs for ${Math.round(durationMs)} ms`);
      store.isHung = true;
      await sleep(durationMs);
      store.isHung = false;
    });
  }

  /** A crash is over at once; the runner stays away for longer. */
  async #crash(downMs: number): Promise<void> {
    const index = this.#pickRunner();
    if (index === undefined) return;
    const runner = this.deployment.runners[index]!;
    this.#busy.add(index);
    await this.calm.during(() => {
      this.record(`${runner.name} crashes, for ${Math.round(downMs)} ms`);
      runner.crash(downMs);
      return Promise.resolve();
    });
    this.#returns.push(
      sleep(downMs).then(() => void this.#busy.delete(index)),
    );
  }

  #pickRunner(): number | undefined {
    const free = [...this.deployment.runners.keys()]
      .filter((index) => !this.#busy.has(index));
    return free[Math.floor(this.random.next() * free.length)];
  }

  #draws(share: number): boolean {
    return this.random.next() < share;
  }

  #between(low: number, high: number): number {
    return low + this.random.next() * (high - low);
  }
}
