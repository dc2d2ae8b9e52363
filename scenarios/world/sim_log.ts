import { applyRecord } from "../../src/core/fold/apply_record.ts";
import { CellLedger } from "../../src/core/fold/cell_ledger.ts";
import type { CellRecord } from "../../src/core/fold/cell_record.ts";
import { taskChart } from "../../src/core/fold/task_chart.ts";
import { tasksOf } from "../../src/core/fold/tasks_of.ts";
import type { JobId } from "../../src/schema/job_id.ts";
import type { LogPage } from "../../src/core/log/log_page.ts";
import { LogModel } from "../../stand_ins/log/log_model.ts";
import type { Network } from "./network.ts";

/**
 * The log behind the simulated network. It also folds every appended record, so
 * that checks see the state of the cell without any peer.
 */
export class SimLog {
  readonly model = new LogModel();
  /** The fold of all records appended so far. */
  readonly truth = new CellLedger();
  /** Size of all appended records as JSON, in characters. */
  recordBytes = 0;
  /** Jobs with a `forgotten` record that came after all tasks had ended. */
  readonly forgotten = new Set<JobId>();
  /** Rejected records, by reason. */
  readonly rejectionCounts = new Map<string, number>();
  /** Appended records, by kind. */
  readonly recordCounts = new Map<string, number>();
  /** Virtual time at which each task finished. */
  readonly finishedAtMs = new Map<string, number>();
  /** Virtual time at which each task was first claimed. */
  readonly firstClaimedAtMs = new Map<string, number>();
  /** Released attempts, by reason. */
  readonly releaseCounts = new Map<string, number>();

  constructor(readonly network: Network) {}

  /**
   * Appends for a party. The callback receives the first offset or "refused",
   * and is not called if the answer is lost.
   */
  append(
    party: string,
    records: readonly CellRecord[],
    done: (first: number | "refused") => void,
  ): void {
    this.network.send(party, "log", () => {
      if (this.model.isDown) {
        this.network.send("log", party, () => done("refused"));
        return;
      }
      const nowMs = this.network.eventQueue.nowMs;
      const copy = structuredClone(records);
      const first = this.model.append("cell", copy, nowMs);
      this.recordBytes += JSON.stringify(copy).length;
      for (const record of copy) this.#observe(record);
      if (this.model.consumeAnswerLoss()) return;
      this.network.send("log", party, () => done(first));
    });
  }

  /**
   * Reads for a party. The callback receives a page or "refused", and is not
   * called if the answer is lost.
   */
  read(
    party: string,
    from: number,
    done: (page: LogPage | "refused") => void,
  ): void {
    this.network.send(party, "log", () => {
      const nowMs = this.network.eventQueue.nowMs;
      const page = this.model.isDown
        ? "refused"
        : this.model.read("cell", from, 500, nowMs);
      this.network.send("log", party, () => done(page));
    });
  }

  #haveTasksEnded(job: JobId): boolean {
    const row = this.truth.jobs.get(job);
    if (row === undefined) return false;
    const tasks = [...tasksOf(this.truth, row)];
    return tasks.every(({ state }) => taskChart.isFinal(state));
  }

  #observe(record: CellRecord): void {
    if (record.kind === "forgotten" && this.#haveTasksEnded(record.job)) {
      this.forgotten.add(record.job);
    }
    const verdict = applyRecord(this.truth, record);
    addOne(this.recordCounts, record.kind);
    if (!verdict.accepted) {
      addOne(this.rejectionCounts, verdict.reason);
      return;
    }
    const nowMs = this.network.eventQueue.nowMs;
    if (record.kind === "claimed" && record.attempt === 1) {
      this.firstClaimedAtMs.set(record.task, nowMs);
    }
    if (record.kind === "released") addOne(this.releaseCounts, record.reason);
    if (record.kind === "finished") {
      this.finishedAtMs.set(record.task, nowMs);
    }
  }
}

function addOne(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
