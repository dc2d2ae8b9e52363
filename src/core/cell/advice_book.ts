import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { Advice } from "./advice.ts";
import type { CellEffect } from "./cell_effect.ts";
import type { Group } from "./group.ts";
import type { Worker } from "./worker.ts";

/** An advisor that has not answered is asked again after this. */
const askAgainMs = 2_000;
/** Part of a ticket's time that is left for its start to arrive. */
const validShare = 0.6;
/** One call names at most so many workers; its time grows with each. */
const mostWorkers = 30;

/** Which workers may run which steps, where only an advisor knows. */
export class AdviceBook {
  readonly #advice = new Map<string, Advice>();

  /** The tickets for a group; asks for them where there are none in force. */
  *ticketsFor(
    group: Group,
    queue: Queue,
    workers: Iterable<Worker>,
    nowMs: number,
  ): Generator<CellEffect, ReadonlyMap<RunnerLife, string> | undefined> {
    if (queue.advice === undefined) return undefined;
    const step = stepKeyOf(group);
    const known = this.#advice.get(step);
    const forMs = known?.isAnswered === true
      ? queue.advice.validMs * validShare
      : askAgainMs;
    if (known === undefined || nowMs - known.askedAtMs >= forMs) {
      const lives = candidates(queue, workers);
      if (lives.length === 0) return new Map();
      const advice = {
        askedAtMs: nowMs,
        isAnswered: false,
        tickets: new Map<RunnerLife, string>(),
      };
      this.#advice.set(step, advice);
      yield { kind: "ask", step, lives };
      return advice.tickets;
    }
    return known.tickets;
  }

  /** Takes in an advisor's answer. */
  answered(step: string, tickets: ReadonlyMap<RunnerLife, string>): void {
    const advice = this.#advice.get(step);
    if (advice === undefined) return;
    advice.isAnswered = true;
    for (const [life, ticket] of tickets) advice.tickets.set(life, ticket);
  }

  /** A runner has called a ticket of the group invalid. */
  forget(group: Group): void {
    this.#advice.delete(stepKeyOf(group));
  }
}

function stepKeyOf({ job, occurrence, step }: Group): string {
  return `${job.definition.id}.${occurrence}.${step}`;
}

/** The lives to ask about: those with the most room first. */
function candidates(queue: Queue, workers: Iterable<Worker>): RunnerLife[] {
  return [...workers]
    .filter(({ report, isAdopted }) =>
      isAdopted && report?.pool === queue.pool && report.isUp &&
      !report.isDraining
    )
    .sort((a, b) => b.free.cpuMilli - a.free.cpuMilli)
    .slice(0, mostWorkers)
    .map(({ report }) => report!.life);
}
