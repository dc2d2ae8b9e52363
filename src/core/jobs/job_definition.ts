import type { JobId } from "./job_id.ts";
import type { Schedule } from "./schedule.ts";
import type { StepDefinition } from "./step_definition.ts";

/** A job as its caller handed it in. */
export interface JobDefinition {
  readonly id: JobId;
  readonly queue: string;
  /** What the tasks are given; opaque to us. */
  readonly payload: string;
  readonly steps: readonly StepDefinition[];
  readonly schedule: Schedule | undefined;
  /** When it was handed in, by the entry's wall clock. */
  readonly receivedMs: number;
}
