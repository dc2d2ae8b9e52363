import type { WorkerId } from "../../schema/worker_id.ts";
import type { WorkerAnswer } from "../worker/worker_answer.ts";
import type { LeaseOptions } from "./lease_options.ts";
import type { WorkerLease } from "./worker_lease.ts";

/** Tracks, for each worker, when all leases granted to it have lapsed. */
export class LeaseTable {
  readonly #leases = new Map<WorkerId, WorkerLease>();
  /** By this time all leases of earlier keepers have lapsed. */
  #earlierLapsedByMs = Infinity;

  constructor(readonly options: LeaseOptions) {}

  /**
   * Forgets all leases when this keeper's epoch record is read at `nowMs`. An
   * earlier keeper may have granted leases until its last read grew too old.
   */
  reset(nowMs: number): void {
    this.#leases.clear();
    const { freshMs, marginMs } = this.options;
    this.#earlierLapsedByMs = nowMs + freshMs + this.#longestLeaseMs() +
      marginMs;
  }

  /** Records a worker's report; one that is older than the last is ignored. */
  recordReport(report: WorkerAnswer, nowMs: number): void {
    const lease = this.#leases.get(report.worker);
    if (lease === undefined) {
      this.#leases.set(report.worker, {
        bootId: report.bootId,
        clockMs: report.clockMs,
        reportedAtMs: nowMs,
        lapsedByMs: -Infinity,
      });
      return;
    }
    const isOlder = report.bootId === lease.bootId &&
      report.clockMs < lease.clockMs;
    if (isOlder) return;
    lease.bootId = report.bootId;
    lease.clockMs = report.clockMs;
    lease.reportedAtMs = nowMs;
  }

  /** The worker's lease, or undefined before its first report. */
  find(worker: WorkerId): Readonly<WorkerLease> | undefined {
    return this.#leases.get(worker);
  }

  /** Records a grant and returns its end on the worker's clock. */
  grant(worker: WorkerId): number | undefined {
    const lease = this.#leases.get(worker);
    if (lease === undefined) return undefined;
    const lapsedByMs = lease.reportedAtMs + this.#longestLeaseMs() +
      this.options.marginMs;
    lease.lapsedByMs = Math.max(lease.lapsedByMs, lapsedByMs);
    return lease.clockMs + this.options.leaseMs;
  }

  /** Whether all leases of earlier keepers have lapsed. */
  isSettled(nowMs: number): boolean {
    return nowMs > this.#earlierLapsedByMs;
  }

  /** Whether no lease of this or an earlier keeper can still be valid. */
  hasLapsed(worker: WorkerId, nowMs: number): boolean {
    const lapsedByMs = this.#leases.get(worker)?.lapsedByMs ?? -Infinity;
    return this.isSettled(nowMs) && nowMs > lapsedByMs;
  }

  #longestLeaseMs(): number {
    const { leaseMs, driftRatio } = this.options;
    return leaseMs * (1 + driftRatio);
  }
}
