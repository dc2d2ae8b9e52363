import type { Group } from "./group.ts";
import type { Job } from "./job.ts";
import type { JobRow } from "./job_row.ts";
import type { Task } from "./task.ts";

type GroupRow = JobRow["o"][number][1][number];
type TaskRow = Exclude<GroupRow, 0 | 1>[number];

/** The row that keeps a job's progress. */
export function encodeJob(job: Job): JobRow {
  const workers = new Map<string, number>();
  const open: [number, GroupRow[]][] = [];
  const isOver = job.outcome === "completed" || job.outcome === "failed";
  if (!isOver) {
    for (const { number, groups } of job.open.values()) {
      open.push([number, groups.map((group) => groupRow(group, workers))]);
    }
  }
  return {
    s: job.outcome ?? (job.hasBegun ? "r" : "q"),
    n: job.nextOccurrence,
    w: [...workers.keys()].map((key) => splitKey(key)),
    o: open,
  };
}

function groupRow(group: Group, workers: Map<string, number>): GroupRow {
  if (group.open === 0) return 1;
  const rows = group.tasks.map((task) => taskRow(task, workers));
  return rows.every((row) => row === 0) ? 0 : rows;
}

function taskRow(task: Task, workers: Map<string, number>): TaskRow {
  if (task.isDone) return 1;
  const { claim, run, failures, checkpoint } = task;
  if (run === 0) return 0;
  if (claim === undefined) return [run, failures, checkpoint];
  const key = `${claim.node} ${claim.life}`;
  const worker = workers.get(key) ?? workers.size;
  workers.set(key, worker);
  const row = [run, failures, checkpoint, worker] as const;
  return claim.from === "" ? row : [...row, claim.from];
}

function splitKey(key: string): [string, string] {
  const at = key.indexOf(" ");
  return [key.slice(0, at), key.slice(at + 1)];
}
