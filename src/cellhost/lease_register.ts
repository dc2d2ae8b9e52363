import type { Cell } from "../core/cell/cell.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Row } from "../core/store/row.ts";
import type { LeaseRow } from "../schema/rows/lease_row.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import { leasesKey } from "./leases_key.ts";

const checkIntervalMs = 250;
const repeatIntervalMs = 1_000;
/** A worker that has not reported for this long is told to be lost. */
const lostAfterMs = 1_000;
/** Bounds the row; the leases of further workers are waited for as untold. */
const maxLost = 2_000;

/** The workers that one row tells to be lost. */
interface Told {
  readonly number: number;
  readonly nodes: ReadonlySet<NodeId>;
}

/**
 * Tells a keeper's successor how long leases may last yet, which would
 * otherwise have to wait for the longest lease anew. A worker that the stored
 * row calls lost may be renewed only once a row without it is stored.
 */
export class LeaseRegister {
  /** The rows that the store may hold, the newest one last. */
  #told: readonly Told[] = [];
  #number = 0;
  readonly #missingSinceMs = new Map<NodeId, number>();
  #checkedAtMs = -Infinity;
  #takenAtMs = -Infinity;
  /** Whether a further row would tell more. */
  #isOpen = true;

  constructor(
    readonly epoch: number,
    readonly leases: LeaseTracker,
    readonly clock: Clock,
  ) {}

  /** Whether a row that may be stored tells that nobody renews the lease. */
  isTold(node: NodeId): boolean {
    return this.#told.some(({ nodes }) => nodes.has(node));
  }

  /** The row to store, if it is due: soon once a worker is back. */
  takeRows({ workers }: Cell): Row[] {
    const nowMs = this.clock.nowMs();
    const isBack = this.#told.at(-1)?.nodes ?? new Set();
    const hasReturned = [...isBack].some((node) =>
      workers.get(node)?.isReconciled
    );
    if (!hasReturned && nowMs - this.#checkedAtMs < checkIntervalMs) return [];
    this.#checkedAtMs = nowMs;
    const lost = this.#findLost(workers.values(), nowMs);
    const earlierMs = this.leases.earlier.leftMs;
    const isDue = nowMs - this.#takenAtMs >= repeatIntervalMs;
    if (lost.length > 0) this.#isOpen = true;
    if (!this.#isOpen || !hasReturned && !isDue) return [];
    this.#isOpen = lost.length > 0 || earlierMs > 0;
    this.#takenAtMs = nowMs;
    this.#number += 1;
    const nodes = new Set(lost.map(([node]) => node));
    this.#told = [...this.#told, { number: this.#number, nodes }];
    const row: LeaseRow = { epoch: this.epoch, earlierMs, lost };
    return [{ key: leasesKey, value: JSON.stringify(row) }];
  }

  /** The number of the row that was taken last. */
  get takenNumber(): number {
    return this.#number;
  }

  /** Records that all rows up to a number are stored, or replaced by later ones. */
  recordStored(number: number, rejected: ReadonlySet<string>): void {
    if (rejected.has(leasesKey)) return;
    this.#told = this.#told.filter((told) => told.number >= number);
  }

  #findLost(
    workers: Iterable<{
      readonly node: NodeId;
      readonly isReconciled: boolean;
      readonly claims: ReadonlyMap<unknown, unknown>;
    }>,
    nowMs: number,
  ): [NodeId, number][] {
    const lost: [NodeId, number][] = [];
    for (const { node, isReconciled, claims } of workers) {
      if (isReconciled || claims.size === 0) {
        this.#missingSinceMs.delete(node);
        continue;
      }
      const sinceMs = this.#missingSinceMs.get(node) ?? nowMs;
      this.#missingSinceMs.set(node, sinceMs);
      const isLost = nowMs - sinceMs >= lostAfterMs ||
        this.leases.earlier.endsAtMs(node) !== undefined;
      if (isLost && lost.length < maxLost) {
        lost.push([node, this.leases.leftMs(node)]);
      }
    }
    return lost;
  }
}
