import { encodeJob } from "../core/cell/encode_job.ts";
import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { Job } from "../core/cell/job.ts";
import type { RunTimeRow } from "../core/estimate/run_time_row.ts";
import type { PressureRow } from "../core/interfere/pressure_row.ts";
import type { Row } from "../core/store/row.ts";
import { defaultStoreLimits } from "../core/store/default_store_limits.ts";
import { isStorable } from "../core/store/is_storable.ts";
import type { StoreLimits } from "../core/store/store_limits.ts";
import { learnedKey } from "./learned_key.ts";
import { progressKey } from "./progress_key.ts";
import { runTimesKey } from "./run_times_key.ts";

type SavedEffect = Extract<
  CellEffect,
  { kind: "save" | "learned" | "runTimes" }
>;

/** What a keeper has to write: the newest state counts, once per key. */
export class UnsavedRows {
  readonly #jobs = new Set<Job>();
  #learned: PressureRow | undefined;
  #runTimes: RunTimeRow | undefined;

  /** Adds the row that an effect has to write; returns whether it has one. */
  add(effect: CellEffect): effect is SavedEffect {
    switch (effect.kind) {
      case "save":
        this.#jobs.add(effect.job);
        return true;
      case "learned":
        this.#learned = effect.row;
        return true;
      case "runTimes":
        this.#runTimes = effect.row;
        return true;
      default:
        return false;
    }
  }

  /** Removes and returns all rows. */
  take(limits = defaultStoreLimits): Row[] {
    const rows = [...this.#jobs].map((job) => encodeRow(job, limits));
    this.#jobs.clear();
    if (this.#learned !== undefined) {
      rows.push({ key: learnedKey, value: JSON.stringify(this.#learned) });
    }
    this.#learned = undefined;
    if (this.#runTimes !== undefined) {
      rows.push({ key: runTimesKey, value: JSON.stringify(this.#runTimes) });
    }
    this.#runTimes = undefined;
    return rows;
  }
}

/** Encodes a job's row, without checkpoints if it would be too large. */
function encodeRow(job: Job, limits: StoreLimits): Row {
  const key = progressKey(job.definition.id);
  const row = { key, value: JSON.stringify(encodeJob(job)) };
  if (isStorable(row, limits)) return row;
  const smaller = encodeJob(job, { withCheckpoints: false });
  return { key, value: JSON.stringify(smaller) };
}
