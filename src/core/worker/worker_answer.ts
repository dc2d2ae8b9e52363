import type { WorkerReport } from "./worker_report.ts";

/**
 * A worker's answer to a command: its report, without capacity and attempts if
 * their digest is the command's `knownDigest`.
 */
export type WorkerAnswer =
  & Pick<WorkerReport, "worker" | "bootId" | "clockMs" | "digest">
  & Partial<Pick<WorkerReport, "capacity" | "tasks">>;
