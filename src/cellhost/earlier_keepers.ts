import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { LeaseRow } from "../schema/rows/lease_row.ts";
import { clockDrift } from "../core/clock/clock_drift.ts";
import { confirmationValidMs } from "./confirmation_valid_ms.ts";
import type { Predecessor } from "./predecessor.ts";

/**
 * Until when keepers of earlier terms may renew leases. Each may do so until its
 * confirmation by the store expires, unless it is known to have stopped before.
 */
export class EarlierKeepers {
  /** The same for the keepers before the predecessor. */
  readonly #othersUntilMs: number;
  #predecessorUntilMs: number;
  /** When the leases that nobody renewed in the term before end at the latest. */
  readonly #endsAtMs: ReadonlyMap<NodeId, number>;

  /** `row` is the newest one of leases, whichever keeper wrote it. */
  constructor(
    readonly clock: Clock,
    readonly predecessor?: Predecessor | undefined,
    row?: LeaseRow | undefined,
  ) {
    const nowMs = clock.nowMs();
    const published = row?.epoch === predecessor?.epoch ? row : undefined;
    const othersMs = published?.earlierMs ?? confirmationValidMs;
    this.#othersUntilMs = predecessor?.epoch === 0
      ? -Infinity
      : nowMs + Math.min(othersMs, confirmationValidMs);
    this.#predecessorUntilMs = predecessor?.endedAtMs ??
      nowMs + confirmationValidMs;
    this.#endsAtMs = new Map(
      published?.lost.map(([node, leftMs]) => [node, nowMs + leftMs]),
    );
  }

  /** The local time from which on none of them renews a lease. */
  get untilMs(): number {
    return Math.max(this.#othersUntilMs, this.#predecessorUntilMs);
  }

  /** For how much longer one of them may renew leases. */
  get leftMs(): number {
    return Math.max(0, Math.ceil(this.untilMs - this.clock.nowMs()));
  }

  /** When a worker's lease ends at the latest, if the predecessor published that. */
  endsAtMs(node: NodeId): number | undefined {
    return this.#endsAtMs.get(node);
  }

  /**
   * Records which process runs on a node, and for how long. It renews no leases
   * any more: an earlier process of the node had ended before it began.
   */
  recordProcess(node: NodeId, incarnation: string, ageMs: number): void {
    const { predecessor } = this;
    if (node !== predecessor?.node) return;
    const isSame = incarnation === predecessor.incarnation;
    const endedForMs = isSame ? 0 : ageMs / (1 + clockDrift);
    this.#predecessorUntilMs = Math.min(
      this.#predecessorUntilMs,
      this.clock.nowMs() - endedForMs,
    );
  }
}
