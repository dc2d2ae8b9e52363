import type { Labels } from "../../schema/labels.ts";
import type { WorkerReport } from "../worker/worker_report.ts";

/** A worker's newest report, and the labels that its peer announced. */
export interface LabelledReport {
  readonly report: WorkerReport;
  readonly labels: Labels;
}
