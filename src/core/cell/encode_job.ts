import type { TaskGroup } from "./task_group.ts";
import type { Job } from "./job.ts";
import type { JobProgressRow } from "./job_progress_row.ts";
import type { Task } from "./task.ts";

type GroupRow = JobProgressRow["o"][number][1][number];
type TaskRow = Exclude<GroupRow, 0 | 1>[number];

interface EncodingOptions {
  /** Without them the row is smaller, but interrupted runs begin anew. */
  readonly withCheckpoints: boolean;
}

/** Encodes a job's progress as its row in the store. */
export function encodeJob(
  job: Job,
  options: EncodingOptions = { withCheckpoints: true },
): JobProgressRow {
  const workers = new Map<string, number>();
  const open: [number, GroupRow[]][] = [];
  const isFinished = job.outcome === "completed" || job.outcome === "failed";
  if (!isFinished) {
    for (const { number, groups } of job.openOccurrences.values()) {
      open.push([
        number,
        groups.map((group) => encodeGroup(group, workers, options)),
      ]);
    }
  }
  return {
    ...job.unknownFields,
    s: job.outcome ?? (job.hasBegun ? "r" : "q"),
    n: job.nextOccurrence,
    w: [...workers.keys()].map((key) => splitWorkerKey(key)),
    o: open,
  };
}

function encodeGroup(
  group: TaskGroup,
  workers: Map<string, number>,
  options: EncodingOptions,
): GroupRow {
  if (group.unfinishedCount === 0) return 1;
  const rows = group.tasks.map((task) => encodeTask(task, workers, options));
  return rows.every((row) => row === 0) ? 0 : rows;
}

function encodeTask(
  task: Task,
  workers: Map<string, number>,
  { withCheckpoints }: EncodingOptions,
): TaskRow {
  if (task.isDone) return 1;
  const { claim, run, failures, crashes } = task;
  const checkpoint = withCheckpoints ? task.checkpoint : "";
  if (run === 0) return 0;
  const start = [run, failures, checkpoint] as const;
  if (claim === undefined) {
    return crashes === 0 ? start : [...start, null, "", crashes];
  }
  const key = `${claim.node} ${claim.life}`;
  const worker = workers.get(key) ?? workers.size;
  workers.set(key, worker);
  const startCheckpoint = withCheckpoints ? claim.startCheckpoint : "";
  const listed = claim.isListed && task.group.definition.isService ? 1 : 0;
  if (crashes > 0) {
    const { crashShownBy = "" } = task;
    const claimed = [...start, worker, startCheckpoint, crashes] as const;
    return [...claimed, listed, crashShownBy];
  }
  if (listed === 1) return [...start, worker, startCheckpoint, 0, listed];
  return startCheckpoint === ""
    ? [...start, worker]
    : [...start, worker, startCheckpoint];
}

function splitWorkerKey(key: string): [string, string] {
  const separator = key.indexOf(" ");
  return [key.slice(0, separator), key.slice(separator + 1)];
}
