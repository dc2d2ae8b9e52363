import type { JobProgressRow } from "../core/cell/job_progress_row.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { isRunTimeRow } from "../core/estimate/is_run_time_row.ts";
import type { RunTimeRow } from "../core/estimate/run_time_row.ts";
import { isPressureRow } from "../core/interfere/is_pressure_row.ts";
import type { PressureRow } from "../core/interfere/pressure_row.ts";
import type { StoredRow } from "../core/store/stored_row.ts";
import type { Logger } from "../adapters/logger.ts";
import { cancellationKey } from "./cancellation_key.ts";
import { learnedKey } from "./learned_key.ts";
import { parseJsonRow } from "./parse_json_row.ts";
import { progressKey } from "./progress_key.ts";
import { runTimesKey } from "./run_times_key.ts";

const progressPrefix = progressKey("" as JobId);

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
  readonly #states = new Map<JobId, JobState>();
  onSubmitted: (definition: JobDefinition) => void = () => {};
  onCancelled: (id: JobId) => void = () => {};

  constructor(readonly log: Logger) {}

  /** A job's state; undefined if no such job was submitted. */
  state(id: JobId): JobState | undefined {
    if (!this.definitions.has(id)) return undefined;
    return this.#states.get(id) ?? "queued";
  }

  /** What the keepers have learned of interference, if it was stored. */
  get learned(): PressureRow | undefined {
    return this.#parseLearned(learnedKey, this.#learned, isPressureRow);
  }

  /** What the keepers have learned of run times, if it was stored. */
  get runTimes(): RunTimeRow | undefined {
    return this.#parseLearned(runTimesKey, this.#runTimes, isRunTimeRow);
  }

  /** Whether the job of each progress row is known. */
  get isComplete(): boolean {
    return [...this.rows.keys()].every((id) => this.definitions.has(id));
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
    for (const { key, value } of rows) {
      if (value === undefined) this.#remove(key);
      else if (key === cancellationKey(key as JobId)) {
        this.cancel(key.slice(0, -1) as JobId);
      } else {
        const definition = parseJsonRow<JobDefinition>(value, key, this.log);
        if (definition !== undefined) this.submit(definition);
      }
    }
  }

  /** Applies the progress rows of the keeper's stream. */
  applyProgressRows(rows: readonly StoredRow[]): void {
    for (const { key, value } of rows) {
      if (key === learnedKey) this.#learned = value;
      if (key === runTimesKey) this.#runTimes = value;
      const id = key.slice(progressPrefix.length) as JobId;
      if (!key.startsWith(progressPrefix)) continue;
      if (value === undefined) {
        this.rows.delete(id);
        continue;
      }
      const row = parseJsonRow<JobProgressRow>(value, key, this.log);
      if (row !== undefined) this.#applyProgressRow(id, row);
    }
  }

  #parseLearned<T>(
    key: string,
    value: string | undefined,
    isRow: (value: unknown) => value is T,
  ): T | undefined {
    if (value === undefined) return undefined;
    const row = parseJsonRow<unknown>(value, key, this.log);
    if (row === undefined || isRow(row)) return row;
    this.log.warn("row_ignored", { key, reason: "shape" });
    return undefined;
  }

  #applyProgressRow(id: JobId, row: JobProgressRow): void {
    this.rows.set(id, row);
    if (row.s === "r") this.advance(id, "running");
    else if (row.s !== "q") this.advance(id, row.s);
  }

  #remove(key: string): void {
    const id = key as JobId;
    this.definitions.delete(id);
    this.cancelled.delete(id);
    this.rows.delete(id);
    this.#states.delete(id);
  }
}
