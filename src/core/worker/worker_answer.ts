import type { WorkerReport } from "./worker_report.ts";

/**
 * A worker's answer to an order. Capacity and attempts are left out where they
 * are as the order's `knownDigest` says.
 */
export type WorkerAnswer =
  & Pick<WorkerReport, "worker" | "bootId" | "clockMs" | "digest">
  & Partial<Pick<WorkerReport, "capacity" | "tasks">>;
