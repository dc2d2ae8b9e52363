import type { RunId } from "./run_id.ts";
import type { TaskName } from "./task_name.ts";

/** Returns the run that a key of `runKey` identifies. */
export function parseRunKey(key: string): RunId {
  const separator = key.lastIndexOf("#");
  return {
    task: key.slice(0, separator) as TaskName,
    run: Number(key.slice(separator + 1)),
  };
}
