import type { RunnerLife } from "../jobs/runner_life.ts";

/** Tickets are not used for starts after this share of their validity. */
const ticketUseShare = 0.6;

interface Query {
  readonly lives: readonly RunnerLife[];
  /** Until when the tickets of its answer can be used. */
  readonly usableUntilMs: number;
}

/** What the advisor has said about one step of an occurrence. */
export class StepAdvice {
  /** Steps are queried in the order of their turns, which rise. */
  turn: number;
  /** When it was last needed, to drop what is not needed any more. */
  usedAtMs: number;
  /** Until when it is left out, since there was no worker to ask about. */
  restsUntilMs = -Infinity;
  #query: Query | undefined;
  /** Whether each life may run the step, which never changes. */
  readonly #mayRun = new Map<RunnerLife, boolean>();
  readonly #usableUntilMs = new Map<RunnerLife, number>();
  #nextExpiryMs = Infinity;
  #tickets: ReadonlyMap<RunnerLife, string> = new Map();

  constructor(turn: number, nowMs: number) {
    this.turn = turn;
    this.usedAtMs = nowMs;
  }

  /**
   * The usable tickets by life. It is another map after each change of them, so
   * that a reader can compare maps by identity.
   */
  tickets(nowMs: number): ReadonlyMap<RunnerLife, string> {
    if (nowMs >= this.#nextExpiryMs) this.#dropExpired(nowMs);
    return this.#tickets;
  }

  /** Whether a query should name the life: it may be allowed, and has no ticket. */
  needsQuery(life: RunnerLife, nowMs: number): boolean {
    return this.#mayRun.get(life) !== false && !this.tickets(nowMs).has(life);
  }

  /** Whether the life is known to be allowed. */
  isAllowed(life: RunnerLife): boolean {
    return this.#mayRun.get(life) === true;
  }

  get isQueried(): boolean {
    return this.#query !== undefined;
  }

  beginQuery(
    lives: readonly RunnerLife[],
    validMs: number,
    nowMs: number,
  ): void {
    this.#query = { lives, usableUntilMs: nowMs + validMs * ticketUseShare };
  }

  /** Ends the query under way without an answer. */
  endQuery(): void {
    this.#query = undefined;
  }

  /** Stores the answer to the query under way. */
  recordAnswer(tickets: ReadonlyMap<RunnerLife, string>): void {
    if (this.#query === undefined) return;
    const { lives, usableUntilMs } = this.#query;
    this.#query = undefined;
    const next = new Map(this.#tickets);
    for (const life of lives) {
      const ticket = tickets.get(life);
      this.#mayRun.set(life, ticket !== undefined);
      if (ticket === undefined) continue;
      next.set(life, ticket);
      this.#usableUntilMs.set(life, usableUntilMs);
      this.#nextExpiryMs = Math.min(this.#nextExpiryMs, usableUntilMs);
    }
    this.#tickets = next;
  }

  /** Drops a ticket that the runner has rejected. */
  dropTicket(life: RunnerLife, ticket: string | undefined): void {
    if (this.#tickets.get(life) !== ticket) return;
    const next = new Map(this.#tickets);
    next.delete(life);
    this.#tickets = next;
    this.#usableUntilMs.delete(life);
  }

  #dropExpired(nowMs: number): void {
    const next = new Map<RunnerLife, string>();
    this.#nextExpiryMs = Infinity;
    for (const [life, ticket] of this.#tickets) {
      const usableUntilMs = this.#usableUntilMs.get(life) ?? -Infinity;
      if (nowMs < usableUntilMs) {
        next.set(life, ticket);
        this.#nextExpiryMs = Math.min(this.#nextExpiryMs, usableUntilMs);
      } else this.#usableUntilMs.delete(life);
    }
    this.#tickets = next;
  }
}
