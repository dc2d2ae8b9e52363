import { hashText } from "../hash/hash_text.ts";
import type { TaskReport } from "./task_report.ts";

/** Returns a digest of the attempts with their states and shares. */
export function digestTasks(tasks: readonly TaskReport[]): string {
  const text = tasks
    .map(({ task, attempt, state, share = 1 }) =>
      `${task}@${attempt}:${state}:${share}`
    )
    .sort()
    .join(" ");
  const first = hashText(text).toString(36);
  const second = hashText(`${tasks.length} ${text}`).toString(36);
  return `${tasks.length}-${first}-${second}`;
}
