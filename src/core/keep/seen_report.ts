import type { Labels } from "../../schema/labels.ts";
import type { WorkerReport } from "../worker/worker_report.ts";

/** A worker's newest report with the labels that it was announced with. */
export interface SeenReport {
  readonly report: WorkerReport;
  readonly labels: Labels;
}
