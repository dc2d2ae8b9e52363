import type { WorkerId } from "../../schema/worker_id.ts";
import type { WorkerAnswer } from "../worker/worker_answer.ts";
import type { LeaseOptions } from "./lease_options.ts";
import type { WorkerLease } from "./worker_lease.ts";

/** Keeps, for each worker, when all leases granted there have lapsed. */
export class LeaseBook {
  readonly #leases = new Map<WorkerId, WorkerLease>();
  /** Leases granted by earlier keepers have lapsed by then. */
  #settledAtMs = Infinity;

  constructor(readonly options: LeaseOptions) {}

  /** Starts anew for a keeper whose epoch record was seen at `nowMs`. */
  reset(nowMs: number): void {
    this.#leases.clear();
    const { freshMs, marginMs } = this.options;
    this.#settledAtMs = nowMs + freshMs + this.#longestLeaseMs() + marginMs;
  }

  /** Takes in a worker's report. */
  reported(report: WorkerAnswer, nowMs: number): void {
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
    const older = report.bootId === lease.bootId &&
      report.clockMs < lease.clockMs;
    if (older) return;
    lease.bootId = report.bootId;
    lease.clockMs = report.clockMs;
    lease.reportedAtMs = nowMs;
  }

  /** The newest report's lease base, or undefined before the first report. */
  find(worker: WorkerId): Readonly<WorkerLease> | undefined {
    return this.#leases.get(worker);
  }

  /** Books a grant and gives its end on the worker's clock. */
  grant(worker: WorkerId): number | undefined {
    const lease = this.#leases.get(worker);
    if (lease === undefined) return undefined;
    const lapsedByMs = lease.reportedAtMs + this.#longestLeaseMs() +
      this.options.marginMs;
    lease.lapsedByMs = Math.max(lease.lapsedByMs, lapsedByMs);
    return lease.clockMs + this.options.leaseMs;
  }

  /** Whether earlier keepers' leases have lapsed. */
  isSettled(nowMs: number): boolean {
    return nowMs > this.#settledAtMs;
  }

  /** Whether no lease, of this keeper or an earlier one, can still hold. */
  hasLapsed(worker: WorkerId, nowMs: number): boolean {
    const lapsedByMs = this.#leases.get(worker)?.lapsedByMs ?? -Infinity;
    return this.isSettled(nowMs) && nowMs > lapsedByMs;
  }

  #longestLeaseMs(): number {
    const { leaseMs, driftRatio } = this.options;
    return leaseMs * (1 + driftRatio);
  }
}
