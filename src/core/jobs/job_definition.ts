import type { JobId } from "./job_id.ts";
import type { Schedule } from "./schedule.ts";
import type { StepDefinition } from "./step_definition.ts";

/** A job as its caller submitted it. */
export interface JobDefinition {
  readonly id: JobId;
  readonly queue: string;
  /** The input of every task; opaque to the scheduler. */
  readonly payload: string;
  readonly steps: readonly StepDefinition[];
  /** Set for a repeated job; other jobs have one occurrence. */
  readonly schedule: Schedule | undefined;
  /** When it was submitted, by the entry's wall clock. */
  readonly receivedMs: number;
  /**
   * The party that it counts for: the data centre of the entry that accepted
   * it. Rows of earlier versions have none, and count as one party.
   */
  readonly origin?: string | undefined;
}
