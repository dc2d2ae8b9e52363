import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { RowWriter } from "./row_writer.ts";

/** A keeper without the store's word for so long renews no lease any more. */
const authorityMs = 8_000;
/** How much slower a runner's clock may be than ours. */
const clockDrift = 0.02;
const marginMs = 250;

/** Which leases a keeper may renew, and which have surely run out. */
export class LeaseWatch {
  /** When each worker's lease was last renewed, by our steady clock. */
  readonly #renewedAtMs = new Map<NodeId, number>();

  constructor(
    readonly writer: RowWriter,
    readonly maxHoldMs: number,
    readonly clock: Clock,
  ) {}

  /** Whether the store has confirmed this keeper lately, by either clock. */
  get hasAuthority(): boolean {
    const { confirmedAtMs, confirmedAtWallMs } = this.writer;
    return this.clock.nowMs() - confirmedAtMs < authorityMs &&
      this.clock.wallMs() - confirmedAtWallMs < authorityMs;
  }

  /** The keeper before may renew a worker's lease for as long as its authority. */
  inherit(node: NodeId): void {
    this.#renewedAtMs.set(node, this.clock.nowMs() + authorityMs);
  }

  /** A worker's lease is renewed now. */
  renew(node: NodeId): void {
    this.#renewedAtMs.set(node, this.clock.nowMs());
  }

  /** Whether a worker's lease has run out by any clock, if nobody renewed it. */
  hasRunOut(node: NodeId): boolean {
    const renewedAtMs = this.#renewedAtMs.get(node);
    if (renewedAtMs === undefined) return false;
    const longestMs = this.maxHoldMs * (1 + clockDrift) + marginMs;
    return this.clock.nowMs() - renewedAtMs >= longestMs;
  }
}
