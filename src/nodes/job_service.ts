import { setTimeout as sleep } from "node:timers/promises";
import type { ProcessMetrics } from "../adapters/process_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import { cancelKeyOf } from "../cellhost/cancel_key_of.ts";
import { streams } from "../cellhost/streams.ts";
import type { JobDefinition } from "../core/jobs/job_definition.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import { shapeOf } from "../core/jobs/shape_of.ts";
import type { Row } from "../core/store/row.ts";
import type { Store } from "../core/store/store.ts";
import type { EntryNode } from "./entry_node.ts";
import type { StoreHealth } from "./store_health.ts";

const attemptTimeoutMs = 700;
const retryPauseMs = 15;
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
    readonly store: Store,
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

  async #keep(row: Row, withinMs: number): Promise<Stored> {
    if (this.health.isAway(performance.now())) return "refused";
    const untilMs = performance.now() + withinMs;
    let isUncertain = false;
    let refusals = 0;
    while (true) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) break;
      const result = await this.store.append(
        streams.jobs,
        [row],
        { kind: "none" },
        Math.min(leftMs, attemptTimeoutMs),
      );
      if (result.isOk) return "stored";
      if (result.error.kind === "unknown") isUncertain = true;
      else {
        refusals += 1;
        if (refusals >= mostRefusals && !isUncertain) break;
      }
      await sleep(retryPauseMs);
    }
    return isUncertain ? "unknown" : "refused";
  }
}
