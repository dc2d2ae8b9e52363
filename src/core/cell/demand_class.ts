import type { RunnerLife } from "../jobs/runner_life.ts";
import type { ChangeLog } from "./change_log.ts";
import type { Worker } from "./worker.ts";

/**
 * Waiting tasks that the same workers can take, in one placement mode. It knows
 * the workers that have room for such a task; one that has not is looked at
 * again only when it may have gained capacity, or after the recheck interval.
 */
export class DemandClass {
  /** The workers that may have room. */
  readonly candidates = new Set<Worker>();
  /** When it was last looked up, to drop classes that have gone. */
  usedAtMs = 0;
  #position = -1;
  #recheckAtMs = -Infinity;
  #tickets: ReadonlyMap<RunnerLife, string> | undefined;
  #ticketCount = 0;

  constructor(readonly log: ChangeLog) {}

  /** Adds the workers that may have gained capacity since the last call. */
  refresh(
    workers: Iterable<Worker>,
    nowMs: number,
    recheckMs: number,
    tickets?: ReadonlyMap<RunnerLife, string>,
  ): void {
    const { end } = this.log;
    const hasTickets = tickets === this.#tickets &&
      (tickets?.size ?? 0) === this.#ticketCount;
    const isDue = nowMs >= this.#recheckAtMs;
    if (hasTickets && !isDue && this.#position === end) return;
    const changes = hasTickets && !isDue
      ? this.log.since(this.#position)
      : undefined;
    if (changes === undefined) this.#recheckAtMs = nowMs + recheckMs;
    for (const worker of changes ?? workers) this.candidates.add(worker);
    this.#position = end;
    this.#tickets = tickets;
    this.#ticketCount = tickets?.size ?? 0;
  }
}
