import type { JobId } from "../jobs/job_id.ts";

/** How wrong the forecast of a job's end was. */
export interface ForecastError {
  readonly job: JobId;
  readonly queue: string;
  /** How much later it ended than predicted; negative if earlier. */
  readonly lateMs: number;
}
