import type { JobId } from "../jobs/job_id.ts";

/** A caller that is this late does not come back. */
const graceMs = 2_000;
/** How many refused jobs are remembered; bounds memory. */
const maxReturns = 10_000;

interface PromisedReturn {
  readonly pool: string;
  readonly milliMs: number;
  /** Counts the refused jobs in the order of their first refusal. */
  readonly number: number;
  returnAtMs: number;
}

/**
 * The jobs that were refused and told when to return. The capacity that they
 * return for is not given to jobs that came later.
 */
export class PromisedReturns {
  /** In the order of the first refusal. */
  readonly #returns = new Map<JobId, PromisedReturn>();
  readonly #milliMsOf = new Map<string, number>();
  #count = 0;

  /** The CPU time promised in a pool to jobs that came before this one. */
  workBefore(id: JobId, pool: string, nowMs: number): number {
    this.#expire(nowMs);
    const own = this.#returns.get(id);
    if (own === undefined) return this.#milliMsOf.get(pool) ?? 0;
    let milliMs = 0;
    for (const each of this.#returns.values()) {
      if (each.number >= own.number) break;
      if (each.pool === pool) milliMs += each.milliMs;
    }
    return milliMs;
  }

  /** Records when a refused job was told to return. */
  add(id: JobId, pool: string, milliMs: number, returnAtMs: number): void {
    const known = this.#returns.get(id);
    if (known !== undefined) {
      known.returnAtMs = returnAtMs;
      return;
    }
    if (this.#returns.size >= maxReturns) return;
    this.#count += 1;
    const number = this.#count;
    this.#returns.set(id, { pool, milliMs, number, returnAtMs });
    this.#milliMsOf.set(pool, (this.#milliMsOf.get(pool) ?? 0) + milliMs);
  }

  /** Forgets a job that was admitted; returns whether it had been refused. */
  remove(id: JobId): boolean {
    const known = this.#returns.get(id);
    if (known === undefined) return false;
    this.#returns.delete(id);
    const { pool, milliMs } = known;
    this.#milliMsOf.set(pool, this.#milliMsOf.get(pool)! - milliMs);
    return true;
  }

  /** Forgets the oldest jobs whose callers have not returned. */
  #expire(nowMs: number): void {
    for (const [id, { returnAtMs }] of this.#returns) {
      if (returnAtMs + graceMs >= nowMs) return;
      this.remove(id);
    }
  }
}
