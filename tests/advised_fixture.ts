import type { CellEffect } from "../src/core/cell/cell_effect.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { CellFixture } from "./cell_fixture.ts";

type Query = Extract<CellEffect, { kind: "ask" }>;

/** A cell whose queue has an advisor, which answers one query at a time. */
export class AdvisedFixture extends CellFixture {
  /** The workers that the advisor allows, by name. */
  allowed: ReadonlySet<string> = new Set();
  /** Whether the advisor takes queries without ever answering them. */
  isMute = false;
  readonly queries: Query[] = [];
  readonly #waiting: { query: Query; sentAtMs: number }[] = [];
  #busyUntilMs = 0;
  /** The most queries that have waited at the advisor at the same time. */
  mostWaiting = 0;

  constructor(
    readonly times = { decideMs: 50, perWorkerMs: 5, validMs: 3_000 },
  ) {
    super();
    const queue = this.cell.queues.get("q")!;
    this.cell.queues.set("q", { ...queue, advice: times });
  }

  /** Advances in ticks of 50 ms, and lets the advisor answer. */
  advanceBy(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.advance(Math.min(50, endMs - this.nowMs));
      this.#takeQueries();
      this.#answer();
    }
  }

  /** The workers named in all queries, in order. */
  get named(): string[] {
    return this.queries.flatMap(({ lives }) => lives.map(nameOf));
  }

  #takeQueries(): void {
    this.effects = this.effects.filter((effect) => {
      if (effect.kind !== "ask") return true;
      if (this.#waiting.length === 0) this.#busyUntilMs = this.nowMs;
      this.queries.push(effect);
      this.#waiting.push({ query: effect, sentAtMs: this.nowMs });
      return false;
    });
    this.mostWaiting = Math.max(this.mostWaiting, this.#waiting.length);
  }

  #answer(): void {
    while (this.#waiting.length > 0) {
      const { query, sentAtMs } = this.#waiting[0]!;
      const { decideMs, perWorkerMs } = this.times;
      const doneAtMs = this.#busyUntilMs + decideMs +
        perWorkerMs * query.lives.length;
      if (this.isMute || doneAtMs - sentAtMs > query.timeoutMs) {
        if (this.nowMs < sentAtMs + query.timeoutMs) return;
        this.cell.advice.recordFailure(query.step, this.nowMs);
      } else {
        if (this.nowMs < doneAtMs) return;
        this.#busyUntilMs = doneAtMs;
        const lives = query.lives.filter((life) =>
          this.allowed.has(nameOf(life))
        );
        const tickets = lives.map((life) => [life, `t-${life}`] as const);
        this.cell.advice.recordAnswer(query.step, new Map(tickets));
      }
      this.#waiting.shift();
    }
  }
}

function nameOf(life: RunnerLife): string {
  return life.slice(0, life.indexOf("@"));
}
