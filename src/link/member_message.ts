import type { StartRefusal } from "../core/cell/start_refusal.ts";
import type { WorkerReport } from "../core/cell/worker_report.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** What entries and sidecars send to their keeper. */
export type MemberMessage =
  | {
    readonly kind: "report";
    readonly number: number;
    readonly report: WorkerReport;
  }
  /** A keeper with a higher epoch was heard: the receiver is out of office. */
  | { readonly kind: "superseded"; readonly epoch: number }
  | { readonly kind: "started"; readonly task: TaskName; readonly run: number }
  | {
    readonly kind: "refused";
    readonly task: TaskName;
    readonly run: number;
    readonly reason: StartRefusal;
  };
