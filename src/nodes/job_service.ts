import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessMetrics } from "../adapters/process_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import { cancelKeyOf } from "../cellhost/cancel_key_of.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { shapeOf } from "../core/jobs/shape_of.ts";
import type { Row } from "../core/store/row.ts";
import type { EntryNode } from "./entry_node.ts";
import type { StoreHealth } from "./store_health.ts";
import type { SubmissionWriter } from "./submission_writer.ts";

const retryPauseMs = 15;
const uncertainPauseMs = 100;
/** The part of a caller's time after which another entry may do better. */
const tryForShare = 0.5;
/** A store that turns everything away is asked this often for one request. */
const mostRefusals = 3;
/** A read so old may miss jobs that were handed in elsewhere. */
const freshWithinMs = 1_500;

/** What became of a request to store something. */
type Stored =
  | "stored"
  /** Surely not stored, now or later. */
  | "refused"
  /** It may have been stored. */
  | "unknown";

/** What an entry does for callers with jobs. */
export class JobService {
  constructor(
    readonly entry: EntryNode,
    readonly writer: SubmissionWriter,
    readonly health: StoreHealth,
    readonly metrics: ProcessMetrics,
    readonly log: Logger,
  ) {}

  /** Takes a job in; the same id again stays one job. */
  async submit(definition: JobDefinition, withinMs: number): Promise<Stored> {
    const { id, queue } = definition;
    const { directory } = this.entry;
    if (directory.definitions.has(id)) return "stored";
    const row = { key: id, value: JSON.stringify(definition) };
    const outcome = await this.#keep(row, withinMs);
    if (outcome === "stored") directory.submit(definition);
    this.metrics.count("requests", { call: "submit", outcome });
    const shape = shapeOf(definition);
    this.log.info("submit", { job: id, queue, outcome, shape });
    return outcome;
  }

  /** How a job stands; `unsure` where this entry may not have heard of it. */
  async state(id: JobId): Promise<JobState | "unknown" | "unsure"> {
    const known = this.entry.directory.state(id);
    if (known !== undefined) return known;
    const isFresh = await this.entry.jobsTail.refresh();
    const now = this.entry.directory.state(id);
    if (now !== undefined) return now;
    return isFresh || this.entry.isFresh(freshWithinMs) ? "unknown" : "unsure";
  }

  /** Cancels a job; `gone` where nobody has handed it in. */
  async cancel(id: JobId, withinMs: number): Promise<Stored | "gone"> {
    const state = await this.state(id);
    if (state === "unknown") return "gone";
    if (state === "unsure") return "refused";
    if (state !== "queued" && state !== "running") return "stored";
    const row = { key: cancelKeyOf(id), value: JSON.stringify(Date.now()) };
    const outcome = await this.#keep(row, withinMs);
    if (outcome === "stored") this.entry.directory.cancel(id);
    this.metrics.count("requests", { call: "cancel", outcome });
    this.log.info("cancel", { job: id, outcome });
    return outcome;
  }

  /** How many of the queue's jobs have not begun. */
  waiting(queue: string): number {
    return [...this.entry.directory.waiting(queue)].length;
  }

  /** Stores a row; a caller whose row may be stored is told so in good time. */
  async #keep(row: Row, withinMs: number): Promise<Stored> {
    if (this.health.isAway(performance.now())) {
      return this.writer.mayHave(row.key) ? "unknown" : "refused";
    }
    const untilMs = performance.now() + withinMs * tryForShare;
    let isUncertain = false;
    let refusals = 0;
    while (performance.now() < untilMs && refusals < mostRefusals) {
      const result = await this.writer.append(row);
      if (result.isOk) return "stored";
      if (result.error.kind === "unknown") isUncertain = true;
      else if (!isUncertain) refusals += 1;
      await sleep(isUncertain ? uncertainPauseMs : retryPauseMs);
    }
    return isUncertain ? "unknown" : "refused";
  }
}
