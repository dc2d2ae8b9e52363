import type { Refusal } from "../core/cell/refusal.ts";
import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import type { TaskName } from "../core/jobs/task_name.ts";

/** A message from an entry or a sidecar to its keeper. */
export type PeerMessage =
  | {
    readonly kind: "report";
    readonly number: number;
    readonly report: SidecarReport;
  }
  /** A keeper with a higher epoch has connected: the receiver is deposed. */
  | { readonly kind: "superseded"; readonly epoch: number }
  | { readonly kind: "started"; readonly task: TaskName; readonly run: number }
  /** The entry's process, which renews no leases while the keeper is newer. */
  | {
    readonly kind: "process";
    readonly incarnation: string;
    readonly ageMs: number;
  }
  /** A start is refused for good; reports repeat it until it is noted. */
  | ({ readonly kind: "refused" } & Refusal);
