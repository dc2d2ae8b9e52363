import type { Labels } from "../../schema/labels.ts";
import type { MemberId } from "../../schema/member_id.ts";
import type { TaskId } from "../../schema/task_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { TaskRow } from "../fold/task_row.ts";
import type { WorkerRow } from "../fold/worker_row.ts";
import { InterferenceController } from "../interfere/interference_controller.ts";
import { interferenceOptionsFor } from "../interfere/interference_options_for.ts";
import type { ServiceLatency } from "../interfere/service_latency.ts";
import { LeaseTable } from "../lease/lease_table.ts";
import type { Placer } from "../place/placer.ts";
import type { WorkerAnswer } from "../worker/worker_answer.ts";
import type { WorkerCommand } from "../worker/worker_command.ts";
import type { WorkerReport } from "../worker/worker_report.ts";
import { ClaimPlanner } from "./claim_planner.ts";
import { workerRecords } from "./worker_records.ts";
import type { KeeperEffect } from "./keeper_effect.ts";
import type { KeeperOptions } from "./keeper_options.ts";
import { reclaimRecords } from "./reclaim_records.ts";
import type { RecordHead } from "./record_head.ts";
import { reportRecords } from "./report_records.ts";
import type { LabelledReport } from "./labelled_report.ts";
import { SyncSchedule } from "./sync_schedule.ts";
import { workerOps } from "./worker_ops.ts";

/** Coordinates a cell's workers while this process is the keeper. */
export class WorkerCoordinator {
  readonly planner: ClaimPlanner;
  quotaOf: (member: MemberId) => number = () => 1;
  workers: readonly WorkerId[] = [];
  readonly interference = new InterferenceController(
    interferenceOptionsFor(1, 0),
  );
  readonly #leases: LeaseTable;
  readonly #syncs: SyncSchedule;
  readonly #reports = new Map<WorkerId, LabelledReport>();
  /** When each worker last sent a full report. */
  readonly #fullReportAtMs = new Map<WorkerId, number>();
  /** Attempts whose reclaim was proposed; their leases are not renewed. */
  readonly #reclaiming = new Map<TaskId, number>();

  constructor(readonly options: KeeperOptions, placer: Placer) {
    const { claimsPerSecond, evictionsPerSecond, lease } = options;
    this.planner = new ClaimPlanner(
      placer,
      this.interference,
      claimsPerSecond,
      evictionsPerSecond,
    );
    this.#leases = new LeaseTable(lease);
    this.#syncs = new SyncSchedule(options.syncEveryMs);
  }

  /** Starts an epoch; leases of earlier keepers may still be valid. */
  beginEpoch(nowMs: number): void {
    this.#reports.clear();
    this.#reclaiming.clear();
    this.#leases.reset(nowMs);
  }

  /** Whether all leases of earlier keepers have lapsed. */
  isSettled(nowMs: number): boolean {
    return this.#leases.isSettled(nowMs);
  }

  /** Handles a worker's report. */
  handleReport(
    ledger: CellLedger,
    { report: answer, labels }: { report: WorkerAnswer; labels: Labels },
    nowMs: number,
  ): void {
    this.#syncs.recordEnd(answer.worker);
    const report = this.#completeReport(answer);
    if (report === undefined) {
      this.#syncs.expedite(answer.worker);
      return;
    }
    this.#leases.recordReport(answer, nowMs);
    this.#reports.set(answer.worker, { report, labels });
    if (answer.tasks === undefined) return;
    this.#fullReportAtMs.set(answer.worker, nowMs);
    for (const attempt of report.tasks) {
      const task = ledger.tasks.get(attempt.task);
      const job = task && ledger.jobs.get(task.job);
      if (job) this.planner.learnedSizes.observe(job.job.template, attempt);
    }
  }

  /** Handles a failed exchange with a worker. */
  handleUnreachable(worker: WorkerId): void {
    this.#syncs.recordEnd(worker);
  }

  /**
   * Handles a record that the ledger has read: drops pending actions that it
   * ends, and expedites the sync of the worker that the task now runs on.
   */
  handleRecord(ledger: CellLedger, record: CellRecord): void {
    if (!("task" in record)) return;
    if (record.kind !== "claimed") this.planner.evictions.delete(record.task);
    if (ledger.tasks.get(record.task)?.worker === undefined) {
      this.#reclaiming.delete(record.task);
    }
    const worker = ledger.tasks.get(record.task)?.worker;
    if (worker !== undefined) this.#syncs.expedite(worker);
  }

  /** Yields the records to propose, given the state of workers and tasks. */
  *propose(
    ledger: CellLedger,
    mayReclaim: boolean,
    head: RecordHead,
    nowMs: number,
  ): Generator<CellRecord> {
    const reports = [...this.#reports.values()];
    const isReachable = (worker: WorkerId): boolean =>
      this.#isReachable(worker, nowMs);
    const reachable = reports.filter(({ report }) =>
      isReachable(report.worker)
    );
    yield* workerRecords(ledger, reachable, head);
    for (const { report } of reports) {
      yield* reportRecords(ledger, report, head, this.planner.evictions);
    }
    if (mayReclaim) {
      const hasLapsed = (worker: WorkerRow): boolean =>
        this.#hasLapsed(worker, nowMs);
      yield* reclaimRecords(ledger, hasLapsed, this.#reclaiming, head);
    }
    yield* this.planner.propose(ledger, isReachable, this.quotaOf, head, nowMs);
    for (const id of this.#withEvictions(ledger)) this.#syncs.expedite(id);
  }

  /** Acts on delayed latency measurements of the services on the workers. */
  *mitigate(
    ledger: CellLedger,
    latencies: readonly ServiceLatency[],
    nowMs: number,
  ): Generator<KeeperEffect> {
    for (const action of this.interference.observe(ledger, latencies, nowMs)) {
      this.#syncs.expedite(action.worker);
      const isDone = action.kind !== "move" ||
        this.planner.requestEviction(
          ledger,
          action.task,
          "interference",
          nowMs,
        );
      if (isDone) yield { kind: "interference", action };
    }
  }

  /** Yields the due exchanges; without authority they ask for reports only. */
  *sync(
    ledger: CellLedger,
    mayGrant: boolean,
    nowMs: number,
  ): Generator<KeeperEffect> {
    for (const worker of this.workers) {
      if (!this.#syncs.tryStart(worker, nowMs)) continue;
      const workerCommand = mayGrant
        ? this.#commandFor(ledger, worker, nowMs)
        : undefined;
      yield workerCommand === undefined
        ? { kind: "apply", worker }
        : { kind: "apply", worker, command: workerCommand };
    }
  }

  /** Fills in what the worker left out because its digest was known. */
  #completeReport(answer: WorkerAnswer): WorkerReport | undefined {
    const { capacity, tasks, ...head } = answer;
    if (capacity !== undefined && tasks !== undefined) {
      return { ...head, capacity, tasks };
    }
    const previous = this.#reports.get(answer.worker)?.report;
    const isUnchanged = previous?.bootId === answer.bootId &&
      previous.digest === answer.digest;
    return isUnchanged ? { ...previous, clockMs: answer.clockMs } : undefined;
  }

  #commandFor(
    ledger: CellLedger,
    id: WorkerId,
    nowMs: number,
  ): WorkerCommand | undefined {
    const worker = ledger.workers.get(id);
    const report = this.#reports.get(id)?.report;
    if (worker === undefined || report === undefined) return undefined;
    if (report.bootId !== worker.bootId) return undefined;
    const ops = [...workerOps(ledger, worker, report, {
      isStopping: (task) => this.planner.evictions.has(task.id),
      isGivenUp: (task) => this.#reclaiming.get(task.id) === task.attempt,
      shareOf: (task) => this.interference.speedShareOf(task),
    })];
    const validUntilMs = this.#leases.grant(id);
    if (validUntilMs === undefined) return undefined;
    const isFullDue = nowMs - (this.#fullReportAtMs.get(id) ?? -Infinity) >=
      this.options.fullReportEveryMs;
    const header = {
      bootId: worker.bootId,
      validUntilMs,
      ...(isFullDue ? {} : { knownDigest: report.digest }),
    };
    const running = report.tasks.filter(({ state }) => state === "running");
    const renewsAll = ops.length > 0 && ops.length === running.length &&
      ops.every(({ op }) => op === "renew");
    return renewsAll
      ? { ...header, ops: [], renewDigest: report.digest }
      : { ...header, ops };
  }

  /** Whether the worker is unreachable or restarted, and has no valid lease. */
  #hasLapsed(worker: WorkerRow, nowMs: number): boolean {
    if (!this.#leases.hasLapsed(worker.id, nowMs)) return false;
    const bootId = this.#reports.get(worker.id)?.report.bootId;
    const isRestarted = bootId !== undefined && bootId !== worker.bootId;
    return isRestarted || !this.#isReachable(worker.id, nowMs);
  }

  #isReachable(worker: WorkerId, nowMs: number): boolean {
    const lease = this.#leases.find(worker);
    const silenceMs = nowMs - (lease?.reportedAtMs ?? -Infinity);
    return silenceMs < this.options.lease.leaseMs / 2;
  }

  #withEvictions(ledger: CellLedger): WorkerId[] {
    return [...this.planner.evictions.keys()]
      .map((id) => ledger.tasks.get(id as TaskRow["id"])?.worker)
      .filter((worker) => worker !== undefined);
  }
}
