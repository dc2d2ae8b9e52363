import type { RunId } from "./run_id.ts";

/** Returns the run id alone, without the other properties of a message. */
export function runIdOf({ task, run }: RunId): RunId {
  return { task, run };
}
