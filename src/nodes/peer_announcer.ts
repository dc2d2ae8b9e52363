import type { Logger } from "../adapters/logger.ts";
import type { PeerAddressRow } from "../cellhost/peer_address_row.ts";
import { endedLifeKey } from "../cellhost/ended_life_key.ts";
import { streams } from "../cellhost/streams.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { RunnerLife } from "../core/jobs/runner_life.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";

const appendTimeoutMs = 1_000;
/** Shorter, as the process may have to exit soon after its runner. */
const endTimeoutMs = 400;
const retryPauseMs = 150;
/** A failure is logged at the first attempt and then at each of this many. */
const attemptsPerLog = 20;
const checkIntervalMs = 500;
/** Without a keeper for this long, its row may have been overwritten. */
const repeatAfterMs = 3_000;

/**
 * Stores the address at which this process accepts its keeper's connection, and
 * stores it again while no keeper has connected: another program may have
 * written a row under its key.
 */
export class PeerAnnouncer {
  /** The ended life of the runner that was stored last. */
  storedEnd: RunnerLife | undefined;
  /** Whether its row says that no start can be under way. */
  isStoredEndSettled = false;
  #isStopped = false;
  #endedRow: string | undefined;

  constructor(
    readonly store: Store,
    readonly node: NodeId,
    readonly row: PeerAddressRow,
    readonly hasKeeper: () => boolean,
    readonly clock: Clock,
    readonly log: Logger,
  ) {}

  async run(): Promise<void> {
    await this.#announce();
    let seenAtMs = this.clock.nowMs();
    while (!this.#isStopped) {
      await this.clock.sleep(checkIntervalMs);
      const nowMs = this.clock.nowMs();
      if (this.hasKeeper()) seenAtMs = nowMs;
      if (nowMs - seenAtMs < repeatAfterMs) continue;
      await this.#announce();
      seenAtMs = this.clock.nowMs();
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Stores that a life of the runner has ended, with those before it, until a
   * later one has; returns once it is stored. A late append of the address, or
   * that of a next process, does not overwrite this row.
   */
  async announceEnd(
    life: RunnerLife,
    before: readonly RunnerLife[] = [],
    isSettled = false,
  ): Promise<void> {
    const value = JSON.stringify({ life, before, isSettled });
    this.#endedRow = value;
    const row = { key: endedLifeKey(this.node), value };
    const isNewest = () => this.#endedRow === value;
    if (!await this.#store(row, isNewest, endTimeoutMs)) return;
    this.storedEnd = life;
    this.isStoredEndSettled = isSettled;
  }

  async #announce(): Promise<void> {
    const { node: key, row } = this;
    await this.#store(
      { key, value: JSON.stringify(row) },
      () => true,
      appendTimeoutMs,
    );
  }

  /** Retries until the row is stored, or not needed; returns whether it is. */
  async #store(
    row: Row,
    isNeeded: () => boolean,
    timeoutMs: number,
  ): Promise<boolean> {
    for (let attempt = 1; !this.#isStopped && isNeeded(); attempt++) {
      const result = await this.store.append(
        streams.members,
        [row],
        { kind: "none" },
        timeoutMs,
      );
      if (result.isOk) {
        this.log.info("member_announced", { key: row.key, attempt });
        return true;
      }
      if (attempt % attemptsPerLog === 1) {
        const reason = result.error.kind;
        this.log.warn("member_unannounced", { key: row.key, attempt, reason });
      }
      await this.clock.sleep(retryPauseMs);
    }
    return false;
  }
}
