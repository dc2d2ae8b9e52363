import type { TaskName } from "./task_name.ts";

/** Returns the key that identifies a run in maps and messages. */
export function runKey(
  { task, run }: { readonly task: TaskName; readonly run: number },
): string {
  return `${task}#${run}`;
}
