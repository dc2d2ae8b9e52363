import type { JobId } from "../core/jobs/job_id.ts";
import { progressKey } from "./progress_key.ts";

const prefix = progressKey("" as JobId);

/** The job whose progress row has the key; undefined if the key is another. */
export function jobOfProgressKey(key: string): JobId | undefined {
  return key.startsWith(prefix) ? key.slice(prefix.length) as JobId : undefined;
}
