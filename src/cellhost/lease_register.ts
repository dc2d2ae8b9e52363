import type { Cell } from "../core/cell/cell.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Row } from "../core/store/row.ts";
import type { LeaseRow } from "../schema/rows/lease_row.ts";
import type { LeaseTracker } from "./lease_tracker.ts";
import { leasesKey } from "./leases_key.ts";

const checkIntervalMs = 250;
const repeatIntervalMs = 1_000;
/** A worker that has not reported for this long is published as lost. */
const lostAfterMs = 1_000;
/** Bounds the row; for further workers a successor assumes the longest lease. */
const maxLost = 2_000;

/** The lost workers of one row. */
interface PublishedRow {
  readonly number: number;
  readonly nodes: ReadonlySet<NodeId>;
}

/**
 * Publishes to a keeper's successor how long leases may still last, which would
 * otherwise wait for the longest lease again. The lease of a worker that the
 * stored row lists as lost may be renewed only once a row without it is stored.
 */
export class LeaseRegister {
  /** The rows that the store may hold, the newest one last. */
  #published: PublishedRow[] = [];
  #number = 0;
  readonly #missingSinceMs = new Map<NodeId, number>();
  #checkedAtMs = -Infinity;
  #takenAtMs = -Infinity;
  /** Whether the newest row is out of date, or becomes so as time passes. */
  #isOutdated = true;

  constructor(
    readonly epoch: number,
    readonly leases: LeaseTracker,
    readonly clock: Clock,
  ) {}

  /** Whether a worker's lease may be renewed: no stored row lists it as lost. */
  mayRenew(node: NodeId): boolean {
    return this.leases.mayRenew &&
      !this.#published.some(({ nodes }) => nodes.has(node));
  }

  /** The row to store, if it is due: soon once a worker is back. */
  takeRows({ workers }: Cell): Row[] {
    const nowMs = this.clock.nowMs();
    const listed = this.#published.at(-1)?.nodes ?? new Set();
    const hasReturned = [...listed].some((node) =>
      workers.get(node)?.isReconciled
    );
    if (!hasReturned && nowMs - this.#checkedAtMs < checkIntervalMs) return [];
    this.#checkedAtMs = nowMs;
    const lost = this.#findLost(workers.values(), nowMs);
    const earlierMs = this.leases.earlier.leftMs;
    const isDue = nowMs - this.#takenAtMs >= repeatIntervalMs;
    if (lost.length > 0) this.#isOutdated = true;
    if (!this.#isOutdated || !hasReturned && !isDue) return [];
    this.#isOutdated = lost.length > 0 || earlierMs > 0;
    this.#takenAtMs = nowMs;
    this.#number += 1;
    const nodes = new Set(lost.map(([node]) => node));
    this.#published.push({ number: this.#number, nodes });
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
    this.#published = this.#published.filter((row) => row.number >= number);
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
