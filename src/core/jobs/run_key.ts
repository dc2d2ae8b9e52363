import type { RunId } from "./run_id.ts";

/** Returns the key that identifies a run in maps and messages. */
export function runKey({ task, run }: RunId): string {
  return `${task}#${run}`;
}
