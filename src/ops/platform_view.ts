import type { EpochRow } from "../cellhost/epoch_row.ts";
import type { JobDirectory } from "../cellhost/job_directory.ts";
import type { MemberRow } from "../cellhost/member_row.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { JobView } from "./job_view.ts";
import { viewJob } from "./view_job.ts";

type Rows = ReadonlyMap<string, StoredRow>;

interface Status {
  readonly keeper: string | undefined;
  readonly epoch: number;
  /** The jobs by how they stand. */
  readonly jobs: Readonly<Record<string, number>>;
  readonly members: readonly (MemberRow & { readonly node: string })[];
}

/** All that the store tells of a deployment; its pages are no snapshot. */
export class PlatformView {
  constructor(
    readonly directory: JobDirectory,
    readonly epochRows: Rows,
    readonly memberRows: Rows,
  ) {}

  /** A job; undefined where nobody has handed it in. */
  job(id: JobId): JobView | undefined {
    const definition = this.directory.definitions.get(id);
    const state = this.directory.state(id);
    if (definition === undefined || state === undefined) return undefined;
    return viewJob(definition, this.directory.rows.get(id), state);
  }

  /** All jobs, the oldest first. */
  jobs(): JobView[] {
    return [...this.directory.definitions.keys()]
      .map((id) => this.job(id))
      .filter((job) => job !== undefined)
      .sort((a, b) => a.receivedMs - b.receivedMs);
  }

  status(): Status {
    const [epoch] = [...this.epochRows.values()]
      .sort((a, b) => b.offset - a.offset);
    const winner = epoch === undefined
      ? undefined
      : valueOf<EpochRow>(this.epochRows, epoch.key);
    const jobs: Record<string, number> = {};
    for (const { state } of this.jobs()) jobs[state] = (jobs[state] ?? 0) + 1;
    const members = [...this.memberRows.keys()].sort().flatMap((node) => {
      const row = valueOf<MemberRow>(this.memberRows, node);
      return row === undefined ? [] : [{ node, ...row }];
    });
    // The offset of a row plus one is the epoch that it won.
    return {
      keeper: winner?.node,
      epoch: (epoch?.offset ?? -1) + 1,
      jobs,
      members,
    };
  }
}

function valueOf<T>(rows: Rows, key: string): T | undefined {
  const value = rows.get(key)?.value;
  return value === undefined ? undefined : JSON.parse(value) as T;
}
