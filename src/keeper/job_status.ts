import type { LedgerJobState } from "./ledger_job_state.ts";

/** The status of a job as returned to callers. */
export interface JobStatus {
  readonly id: string;
  readonly state: LedgerJobState;
  readonly member: string;
  readonly template: string;
  readonly submittedAtMs: number;
  readonly endedAtMs?: number;
  readonly movedTo?: string;
  readonly tasks: readonly {
    readonly id: string;
    readonly state: string;
    readonly attempt: number;
    readonly evictions: number;
    readonly worker?: string;
    readonly result?: string;
    readonly detail?: string;
  }[];
}
