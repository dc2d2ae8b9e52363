import type { LeaseOptions } from "../lease/lease_options.ts";

/**
 * A candidate's pledges not to campaign against the keeper. A process pledges
 * only in epochs that began after its start and that it has not campaigned to
 * replace: an append of its earlier life or campaign may still take effect.
 */
export class CandidatePledges {
  #firstEpoch: number | undefined;
  #campaignedEpoch = -1;
  #newestEpoch = 0;
  #keepAliveAtMs: number;
  #pledgedUntilMs: number;

  constructor(readonly options: LeaseOptions, startedAtMs: number) {
    this.#keepAliveAtMs = startedAtMs;
    this.#pledgedUntilMs = startedAtMs + options.pledgeMs;
  }

  /** Set while this process reaches the log and the keeper does not. */
  #refusesPledges = false;
  #isKeeperWithoutLog = false;

  /** Whether this process should check if it reaches the log. */
  get shouldProbeLog(): boolean {
    return this.#isKeeperWithoutLog && !this.#refusesPledges;
  }

  /** Stops pledging to a keeper without the log: this process reached it. */
  recordLogReached(): void {
    this.#refusesPledges = this.#isKeeperWithoutLog;
  }

  /** Handles a keep-alive; returns the pledge's length, or 0 for none. */
  handleKeepAlive(epoch: number, withoutLog: boolean, nowMs: number): number {
    this.#isKeeperWithoutLog = withoutLog;
    if (!withoutLog) this.#refusesPledges = false;
    if (this.#refusesPledges) return 0;
    this.#keepAliveAtMs = nowMs;
    this.#firstEpoch ??= epoch;
    this.#newestEpoch = Math.max(this.#newestEpoch, epoch);
    if (epoch <= this.#firstEpoch || epoch <= this.#campaignedEpoch) return 0;
    this.#pledgedUntilMs = nowMs + this.options.pledgeMs;
    return this.options.pledgeMs;
  }

  /** Records that this process is about to append a successor of the epoch. */
  recordCampaign(epoch: number): void {
    this.#campaignedEpoch = Math.max(this.#campaignedEpoch, epoch);
  }

  /** Records that the log holds the epoch: its keeper counts as active. */
  recordEpoch(epoch: number, nowMs: number): void {
    if (epoch <= this.#newestEpoch) return;
    this.#newestEpoch = epoch;
    this.postponeCampaign(nowMs);
  }

  /** Postpones the next campaign as if a keep-alive had just come in. */
  postponeCampaign(nowMs: number): void {
    this.#keepAliveAtMs = nowMs;
  }

  /** Whether no pledge is active and the keeper has been silent that long. */
  mayCampaign(silenceMs: number, nowMs: number): boolean {
    return nowMs > this.#pledgedUntilMs &&
      nowMs - this.#keepAliveAtMs > silenceMs;
  }

  /** Whether a keep-alive came in within a pledge's length. */
  heardRecently(nowMs: number): boolean {
    return nowMs - this.#keepAliveAtMs < this.options.pledgeMs;
  }

  /** Whether a pledge is active. */
  isActive(nowMs: number): boolean {
    return nowMs <= this.#pledgedUntilMs;
  }
}
