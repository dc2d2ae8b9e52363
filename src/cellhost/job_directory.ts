import type { JobProgressRow } from "../core/cell/job_progress_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { Queue } from "../core/jobs/queue.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { RunTimeRow } from "../core/estimate/run_time_row.ts";
import type { PressureRow } from "../core/interfere/pressure_row.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Logger } from "../adapters/logger.ts";
import { JobRow } from "../schema/rows/job_row.ts";
import { LeaseRow } from "../schema/rows/lease_row.ts";
import { LearnedRow } from "../schema/rows/learned_row.ts";
import { ProgressRow } from "../schema/rows/progress_row.ts";
import { QueuesRow } from "../schema/rows/queues_row.ts";
import { RunTimesRow } from "../schema/rows/run_times_row.ts";
import { cancellationKey } from "./cancellation_key.ts";
import { learnedKey } from "./learned_key.ts";
import { leasesKey } from "./leases_key.ts";
import { jobOfProgressKey } from "./job_of_progress_key.ts";
import { queuesKey } from "./queues_key.ts";
import { RowReader } from "./row_reader.ts";
import { runTimesKey } from "./run_times_key.ts";
import { streams } from "./streams.ts";

/** Stands for a row that cannot be read: its job is left alone. */
const unreadableRow = { s: "unreadable" } as unknown as JobProgressRow;

/** The order of a job's states; a job never returns to one of lower rank. */
const stateRank: Readonly<Record<JobState, number>> = {
  queued: 0,
  running: 1,
  completed: 2,
  failed: 2,
  cancelled: 3,
};

/** The jobs that an entry knows, with their progress and states. */
export class JobDirectory {
  readonly definitions = new Map<JobId, JobDefinition>();
  readonly cancelled = new Set<JobId>();
  /** The newest progress row of each job, as the keepers stored it. */
  readonly rows = new Map<JobId, JobProgressRow>();
  /** What the keepers have learned of interference, unparsed. */
  #learned: string | undefined;
  /** What the keepers have learned of run times, unparsed. */
  #runTimes: string | undefined;
  /** The queues that the keepers knew, unparsed. */
  #queues: string | undefined;
  /** What the keepers knew of leases, unparsed. */
  #leases: string | undefined;
  /** Jobs of which no progress row could be read, but there is one. */
  readonly #unreadable = new Set<JobId>();
  readonly #states = new Map<JobId, JobState>();
  readonly #jobReader: RowReader;
  readonly #cellReader: RowReader;
  onSubmitted: (definition: JobDefinition) => void = () => {};
  onCancelled: (id: JobId) => void = () => {};

  constructor(readonly log: Logger) {
    this.#jobReader = new RowReader(streams.jobs, log);
    this.#cellReader = new RowReader(streams.cell, log);
  }

  /** A job's state; undefined if no such job was submitted. */
  state(id: JobId): JobState | undefined {
    if (!this.definitions.has(id)) return undefined;
    return this.#states.get(id) ?? "queued";
  }

  /** What the keepers have learned of interference, if it was stored. */
  get learned(): PressureRow | undefined {
    const row = { key: learnedKey, value: this.#learned };
    return this.#cellReader.read(LearnedRow, row);
  }

  /** What the keepers have learned of run times, if it was stored. */
  get runTimes(): RunTimeRow | undefined {
    const row = { key: runTimesKey, value: this.#runTimes };
    return this.#cellReader.read(RunTimesRow, row);
  }

  /** The queues that the newest keeper knew. */
  get queues(): readonly Queue[] {
    const row = { key: queuesKey, value: this.#queues };
    return this.#cellReader.read(QueuesRow, row)?.queues ?? [];
  }

  /** What the newest keeper that published leases has stored. */
  get leases(): LeaseRow | undefined {
    const row = { key: leasesKey, value: this.#leases };
    return this.#cellReader.read(LeaseRow, row);
  }

  /** Whether the job of each progress row is known. */
  get isComplete(): boolean {
    return [...this.rows.keys()].every((id) => this.definitions.has(id));
  }

  /** A job's progress; one that cannot be loaded if no row could be read. */
  progressOf(id: JobId): JobProgressRow | undefined {
    return this.rows.get(id) ??
      (this.#unreadable.has(id) ? unreadableRow : undefined);
  }

  /** Forgets all progress, to read it again. */
  clearProgress(): void {
    this.rows.clear();
    this.#unreadable.clear();
  }

  /** The ids of the queue's jobs that have not started. */
  *waiting(queue: string): Generator<JobId> {
    for (const [id, definition] of this.definitions) {
      if (definition.queue === queue && this.state(id) === "queued") yield id;
    }
  }

  /** Advances a job to a state, unless the known one is later. */
  advance(id: JobId, state: JobState): void {
    const known = this.#states.get(id) ?? "queued";
    if (stateRank[state] >= stateRank[known]) this.#states.set(id, state);
  }

  /** Adds a job that the store holds. */
  submit(definition: JobDefinition): void {
    if (this.definitions.has(definition.id)) return;
    this.definitions.set(definition.id, definition);
    this.onSubmitted(definition);
    // The cancellation may have been read first, from another stream.
    if (this.cancelled.has(definition.id)) this.onCancelled(definition.id);
  }

  /** Applies a cancellation that the store holds. */
  cancel(id: JobId): void {
    if (this.cancelled.has(id)) return;
    this.cancelled.add(id);
    this.advance(id, "cancelled");
    this.onCancelled(id);
  }

  /** Applies rows of the stream of submitted jobs. */
  applyJobRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const { key, value } = row;
      if (value === undefined) this.#remove(key);
      else if (key === cancellationKey(key as JobId)) {
        this.cancel(key.slice(0, -1) as JobId);
      } else {
        const definition = this.#jobReader.read(JobRow, row);
        // Under the key of another job it would take that job's place.
        if (definition?.id === key) this.submit(definition);
      }
    }
  }

  /** Applies the progress rows of the keeper's stream. */
  applyProgressRows(rows: readonly StoredRow[]): void {
    for (const row of rows) {
      const { key, value } = row;
      if (key === learnedKey) this.#learned = value;
      if (key === runTimesKey) this.#runTimes = value;
      if (key === queuesKey) this.#queues = value;
      if (key === leasesKey) this.#leases = value;
      const id = jobOfProgressKey(key);
      if (id === undefined) continue;
      if (value === undefined) {
        this.rows.delete(id);
        this.#unreadable.delete(id);
        continue;
      }
      const progress = this.#cellReader.read(ProgressRow, row);
      if (progress !== undefined) this.#applyProgressRow(id, progress);
      // The progress known last still holds; without any, the job may run.
      else if (!this.rows.has(id)) this.#unreadable.add(id);
    }
  }

  #applyProgressRow(id: JobId, row: JobProgressRow): void {
    this.rows.set(id, row);
    this.#unreadable.delete(id);
    if (row.s === "r") this.advance(id, "running");
    else if (row.s !== "q" && row.s in stateRank) this.advance(id, row.s);
  }

  #remove(key: string): void {
    const id = key as JobId;
    this.definitions.delete(id);
    this.cancelled.delete(id);
    this.rows.delete(id);
    this.#unreadable.delete(id);
    this.#states.delete(id);
  }
}
