import type { Clock } from "../../src/core/clock/clock.ts";

/**
 * The clocks of one process. A paused process handles nothing until it is
 * resumed; a dead one never does.
 */
export class ProcessClock implements Clock {
  #isDead = false;
  #resumed: Promise<void> | undefined;
  #resume: () => void = () => {};
  /** Since when it is paused, by the world's clock. */
  #pausedAtMs: number | undefined;
  /** For how long the monotonic clock has stood still. */
  #stoodStillMs = 0;
  #isSuspended = false;
  /** Called on each resumption, before anything else, with the pause's length. */
  readonly onResumed = new Set<(pausedMs: number) => void>();

  constructor(readonly world: Clock) {}

  get isDead(): boolean {
    return this.#isDead;
  }

  nowMs(): number {
    return this.world.nowMs() - this.#stoodStillMs;
  }

  wallMs(): number {
    return this.world.wallMs();
  }

  async sleep(ms: number): Promise<void> {
    await this.world.sleep(ms);
    await this.awake();
  }

  async nextTurn(): Promise<void> {
    await this.sleep(0);
  }

  /** Resolves when the process next runs. */
  async awake(): Promise<void> {
    while (this.#resumed !== undefined) await this.#resumed;
    if (this.#isDead) await new Promise<never>(() => {});
  }

  /** For how long it has been paused; 0 if it runs. */
  get pausedMs(): number {
    return this.#pausedAtMs === undefined
      ? 0
      : this.world.nowMs() - this.#pausedAtMs;
  }

  pause(): void {
    if (this.#pausedAtMs !== undefined) return;
    this.#pausedAtMs = this.world.nowMs();
    this.#resumed = new Promise((resolve) => this.#resume = resolve);
  }

  /** Pauses with the whole machine: the monotonic clock stands still. */
  suspend(): void {
    this.#isSuspended = this.#pausedAtMs === undefined;
    this.pause();
  }

  resume(): void {
    const { pausedMs } = this;
    if (this.#isSuspended) this.#stoodStillMs += pausedMs;
    this.#isSuspended = false;
    this.#pausedAtMs = undefined;
    for (const handle of this.onResumed) handle(pausedMs);
    this.#resumed = undefined;
    this.#resume();
  }

  kill(): void {
    this.#isDead = true;
    this.resume();
  }
}
