import { HeartbeatOrder } from "./heartbeat_order.ts";
import type { RunnerHeartbeat } from "./runner_heartbeat.ts";

/** Whether to believe heartbeats: which life answers, and in which order. */
export class LifeEvidence {
  #isConfirmed = false;
  #isContradicted = false;
  #order = new HeartbeatOrder();

  /** Starts over, for a new life whose heartbeat has this sequence number. */
  reset(sequence: number): void {
    this.#order = new HeartbeatOrder();
    this.#order.accepts(sequence);
    this.#isConfirmed = false;
    this.#isContradicted = false;
  }

  /** Records that the life has answered. */
  confirm(): void {
    this.#isConfirmed = true;
    this.#isContradicted = false;
  }

  /** Records that another life has answered. */
  contradict(): void {
    this.#isContradicted = !this.#isConfirmed;
  }

  /** Whether a heartbeat of the known life is newer than those before. */
  isNewer({ sequence }: RunnerHeartbeat): boolean {
    return this.#order.accepts(sequence);
  }

  /**
   * Whether a heartbeat of another life may replace the known one. An earlier
   * life counts only if the known one never answered, but another did: then the
   * heartbeat that named the known one came from another program.
   */
  mayYield(known: RunnerHeartbeat, next: RunnerHeartbeat): boolean {
    return next.bornMs >= known.bornMs || this.#isContradicted;
  }
}
