import type { NodeId } from "../jobs/node_id.ts";
import type { Queue } from "../jobs/queue.ts";
import type { RunnerLife } from "../jobs/runner_life.ts";
import type { AdviceState } from "./advice_state.ts";
import type { CellEffect } from "./cell_effect.ts";
import { chooseQueriedLives } from "./choose_queried_lives.ts";
import { StepAdvice } from "./step_advice.ts";
import type { Task } from "./task.ts";
import type { TaskGroup } from "./task_group.ts";
import type { Worker } from "./worker.ts";

/**
 * Queries under way at the same time. The advisor serves a caller's queries one
 * by one, so more of them would only wait there until they have timed out; the
 * second one travels while the first is decided.
 */
const maxQueries = 2;
/** Added to twice the time that the advisor needs for the queries under way. */
const queryTimeoutMs = 2_000;
/** How long no query is sent after one has failed. */
const failurePauseMs = 500;
/** How long a step without workers to ask about is left out. */
const restMs = 100;
/** How long what is known of a step without waiting tasks is kept. */
const retentionMs = 30_000;

interface Need {
  readonly task: Task;
  readonly queue: Queue;
  readonly advice: StepAdvice;
}

interface Query {
  readonly step: string;
  readonly need: Need;
  readonly lives: readonly RunnerLife[];
}

/**
 * Knows which workers may run which steps, in queues that have an advisor, and
 * decides what to ask it. A step that finds no worker goes on to the workers
 * that the advisor was not asked about.
 */
export class AdviceCache {
  readonly #adviceByStep = new Map<string, StepAdvice>();
  /** The steps that found no worker since the last queries were chosen. */
  readonly #needs = new Map<string, Need>();
  #nextTurn = 0;
  #queryCount = 0;
  #pausedUntilMs = -Infinity;
  #sweptAtMs = -Infinity;

  /** Returns the group's usable tickets; undefined if it needs none. */
  ticketsFor(
    group: TaskGroup,
    queue: Queue,
    nowMs: number,
  ): ReadonlyMap<RunnerLife, string> | undefined {
    if (queue.advice === undefined) return undefined;
    const advice = this.#adviceOf(stepKeyOf(group), nowMs);
    advice.usedAtMs = nowMs;
    return advice.tickets(nowMs);
  }

  /** What keeps a group from having more tickets, and those it has. */
  describe(group: TaskGroup, nowMs: number): AdviceState {
    const advice = this.#adviceByStep.get(stepKeyOf(group));
    const restsUntilMs = advice?.restsUntilMs ?? -Infinity;
    const pauseLeftMs = Math.max(0, this.#pausedUntilMs - nowMs);
    const reason = advice?.isQueried
      ? "advice_queried"
      : pauseLeftMs > 0
      ? "advice_paused"
      : nowMs < restsUntilMs
      ? "advice_rests"
      : "advice_waits";
    const tickets = advice?.tickets(nowMs) ?? new Map<RunnerLife, string>();
    return { reason, tickets, pauseLeftMs, queryCount: this.#queryCount };
  }

  /** Notes that a task found no worker, as far as tickets are known. */
  noteUnplaced(task: Task, queue: Queue, nowMs: number): void {
    if (queue.advice === undefined) return;
    const step = stepKeyOf(task.group);
    const advice = this.#adviceOf(step, nowMs);
    this.#needs.set(step, { task, queue, advice });
  }

  /**
   * Queries the advisor for the steps that found no worker: first for those for
   * which a worker has room, and among them for the one that has waited longest
   * since its last query, so that each gets its turn.
   */
  *queryNext(
    workers: ReadonlyMap<NodeId, Worker>,
    nowMs: number,
  ): Generator<CellEffect, void> {
    const needs = [...this.#needs];
    this.#needs.clear();
    this.#dropUnused(nowMs);
    if (this.#queryCount >= maxQueries || nowMs < this.#pausedUntilMs) return;
    const queries: Query[] = [];
    needs.sort(([, a], [, b]) => a.advice.turn - b.advice.turn);
    for (const [step, need] of needs) {
      const { task, queue, advice } = need;
      if (advice.isQueried || nowMs < advice.restsUntilMs) continue;
      const { haveRoom, lives } = chooseQueriedLives(
        task,
        queue,
        advice,
        workers.values(),
        nowMs,
      );
      if (lives.length === 0) advice.restsUntilMs = nowMs + restMs;
      else if (!haveRoom) queries.push({ step, need, lives });
      else yield this.#begin({ step, need, lives }, nowMs);
      if (this.#queryCount >= maxQueries) return;
    }
    for (const query of queries) {
      yield this.#begin(query, nowMs);
      if (this.#queryCount >= maxQueries) return;
    }
  }

  /** Stores the advisor's answer to a query. */
  recordAnswer(step: string, tickets: ReadonlyMap<RunnerLife, string>): void {
    this.#queryCount = Math.max(0, this.#queryCount - 1);
    this.#adviceByStep.get(step)?.recordAnswer(tickets);
  }

  /** Notes that a query got no answer. */
  recordFailure(step: string, nowMs: number): void {
    this.#queryCount = Math.max(0, this.#queryCount - 1);
    this.#pausedUntilMs = nowMs + failurePauseMs;
    this.#adviceByStep.get(step)?.endQuery();
  }

  /** Drops a ticket that the runner has rejected as invalid. */
  dropTicket({ group, claim }: Task): void {
    if (claim === undefined) return;
    const { life, ticket } = claim;
    this.#adviceByStep.get(stepKeyOf(group))?.dropTicket(life, ticket);
  }

  #begin({ step, need, lives }: Query, nowMs: number): CellEffect {
    this.#queryCount += 1;
    const { decideMs = 0, perWorkerMs = 0, validMs = 0 } = need.queue.advice ??
      {};
    need.advice.beginQuery(lives, validMs, nowMs);
    need.advice.turn = this.#nextTurn++;
    const expectedMs = decideMs + perWorkerMs * lives.length;
    const timeoutMs = queryTimeoutMs + 2 * maxQueries * expectedMs;
    return { kind: "ask", step, lives, timeoutMs };
  }

  #adviceOf(step: string, nowMs: number): StepAdvice {
    const known = this.#adviceByStep.get(step);
    if (known !== undefined) return known;
    const advice = new StepAdvice(this.#nextTurn++, nowMs);
    this.#adviceByStep.set(step, advice);
    return advice;
  }

  #dropUnused(nowMs: number): void {
    if (nowMs - this.#sweptAtMs < retentionMs) return;
    this.#sweptAtMs = nowMs;
    for (const [step, { usedAtMs, isQueried }] of this.#adviceByStep) {
      if (isQueried || nowMs - usedAtMs < retentionMs) continue;
      this.#adviceByStep.delete(step);
    }
  }
}

function stepKeyOf({ job, occurrence, step }: TaskGroup): string {
  return `${job.definition.id}.${occurrence}.${step}`;
}
