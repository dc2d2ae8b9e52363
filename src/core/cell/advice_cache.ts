import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Advice } from "./advice.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Worker } from "./worker.ts";

/** How long to wait for the advisor's answer before the query is repeated. */
const queryRetryMs = 2_000;
/**
 * Tickets are used for this share of their validity; the rest is left for the
 * start command to reach the runner.
 */
const ticketUseShare = 0.6;
/** Most workers in one query, since its duration grows with each of them. */
const maxWorkersPerQuery = 30;

/** Caches which workers may run which steps, in queues that have an advisor. */
export class AdviceCache {
  readonly #adviceByStep = new Map<string, Advice>();

  /**
   * Returns the tickets for a group and queries the advisor where they are
   * missing or expired; `undefined` if the queue has no advisor.
   */
  *ticketsFor(
    group: TaskGroup,
    queue: Queue,
    workers: Iterable<Worker>,
    nowMs: number,
  ): Generator<CellEffect, ReadonlyMap<RunnerLife, string> | undefined> {
    if (queue.advice === undefined) return undefined;
    const step = stepKeyOf(group);
    const cached = this.#adviceByStep.get(step);
    const maxAgeMs = cached?.isAnswered === true
      ? queue.advice.validMs * ticketUseShare
      : queryRetryMs;
    if (cached === undefined || nowMs - cached.queriedAtMs >= maxAgeMs) {
      const lives = candidateLives(queue, workers);
      if (lives.length === 0) return new Map();
      const advice = {
        queriedAtMs: nowMs,
        isAnswered: false,
        tickets: new Map<RunnerLife, string>(),
      };
      this.#adviceByStep.set(step, advice);
      yield { kind: "ask", step, lives };
      return advice.tickets;
    }
    return cached.tickets;
  }

  /** Stores the advisor's answer to a query. */
  storeAnswer(step: string, tickets: ReadonlyMap<RunnerLife, string>): void {
    const advice = this.#adviceByStep.get(step);
    if (advice === undefined) return;
    advice.isAnswered = true;
    for (const [life, ticket] of tickets) advice.tickets.set(life, ticket);
  }

  /** Drops the group's tickets after a runner has rejected one as invalid. */
  invalidate(group: TaskGroup): void {
    this.#adviceByStep.delete(stepKeyOf(group));
  }
}

function stepKeyOf({ job, occurrence, step }: TaskGroup): string {
  return `${job.definition.id}.${occurrence}.${step}`;
}

/** The runner lives to name in a query, those with the most free CPU first. */
function candidateLives(queue: Queue, workers: Iterable<Worker>): RunnerLife[] {
  return [...workers]
    .filter(({ report, isReconciled }) =>
      isReconciled && report?.pool === queue.pool && report.isUp &&
      !report.isDraining
    )
    .sort((a, b) => b.free.cpuMilli - a.free.cpuMilli)
    .slice(0, maxWorkersPerQuery)
    .map(({ report }) => report!.life);
}
