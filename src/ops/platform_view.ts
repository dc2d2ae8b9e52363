import type { GenericSchema } from "valibot";
import { endedLifeKey } from "../cellhost/ended_life_key.ts";
import type { JobDirectory } from "../cellhost/job_directory.ts";
import type { PeerAddressRow } from "../cellhost/peer_address_row.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { TaskPosition } from "../core/jobs/task_position.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import { EndedLifeRow } from "../schema/rows/ended_life_row.ts";
import { MemberRow } from "../schema/rows/member_row.ts";
import { parseRow } from "../schema/rows/parse_row.ts";
import { WinnerRow } from "../schema/rows/winner_row.ts";
import type { JobDetails } from "./job_details.ts";
import { describeJob } from "./describe_job.ts";
import { describeTask } from "./describe_task.ts";
import type { TaskDetails } from "./task_details.ts";
import { tryDecodeJob } from "./try_decode_job.ts";

type Rows = ReadonlyMap<string, StoredRow>;

interface Status {
  readonly keeper: string | undefined;
  readonly epoch: number;
  /** The number of jobs by state. */
  readonly jobs: Readonly<Record<string, number>>;
  readonly members: readonly (PeerAddressRow & { readonly node: string })[];
}

/**
 * A deployment's state as stored, for operators. Its rows were read page by
 * page, so they are no consistent snapshot.
 */
export class PlatformView {
  constructor(
    readonly directory: JobDirectory,
    readonly electionRows: Rows,
    readonly peerRows: Rows,
  ) {}

  /** Returns a job; undefined if no such job was submitted. */
  job(id: JobId): JobDetails | undefined {
    const definition = this.directory.definitions.get(id);
    const state = this.directory.state(id);
    if (definition === undefined || state === undefined) return undefined;
    return describeJob(definition, this.directory.progressOf(id), state);
  }

  /** Returns a task of a job; undefined if no such task was submitted. */
  task(position: TaskPosition): TaskDetails | undefined {
    const { job: id } = position;
    const definition = this.directory.definitions.get(id);
    const state = this.directory.state(id);
    if (definition === undefined || state === undefined) return undefined;
    const job = tryDecodeJob(definition, this.directory.progressOf(id));
    const rows = this.peerRows;
    return describeTask(job, position, state, (node) => ({
      address: parseValue(MemberRow, rows, node),
      endedLife: parseValue(EndedLifeRow, rows, endedLifeKey(node))?.life,
    }));
  }

  /** Returns all jobs, the oldest first. */
  jobs(): JobDetails[] {
    return [...this.directory.definitions.keys()]
      .map((id) => this.job(id))
      .filter((job) => job !== undefined)
      .sort((a, b) => a.receivedMs - b.receivedMs);
  }

  status(): Status {
    const [newest] = [...this.electionRows.values()]
      .sort((a, b) => b.offset - a.offset);
    const winner = newest === undefined
      ? undefined
      : parseValue(WinnerRow, this.electionRows, newest.key);
    const jobs: Record<string, number> = {};
    for (const { state } of this.jobs()) jobs[state] = (jobs[state] ?? 0) + 1;
    const members = [...this.peerRows.keys()].sort().flatMap((node) => {
      const row = parseValue(MemberRow, this.peerRows, node);
      return row === undefined ? [] : [{ node, ...row }];
    });
    // An election row's offset plus one is the epoch that it began.
    return {
      keeper: winner?.node,
      epoch: (newest?.offset ?? -1) + 1,
      jobs,
      members,
    };
  }
}

/** The value of a row; undefined if it has none, or cannot be read. */
function parseValue<T>(
  schema: GenericSchema<unknown, T>,
  rows: Rows,
  key: string,
): T | undefined {
  const value = rows.get(key)?.value;
  return value === undefined
    ? undefined
    : parseRow(schema, value).unwrapOr(undefined);
}
