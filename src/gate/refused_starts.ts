import type { Refusal } from "../core/cell/refusal.ts";
import type { RunId } from "../core/jobs/run_id.ts";
import { runKey } from "../core/jobs/run_key.ts";

/** More than a keeper can leave unacknowledged; a bound all the same. */
const maxRefusals = 4_096;

/**
 * The refused starts that no keeper has acknowledged. Until then a start may
 * arrive again, and is refused again. A keeper sends no start of a run after it
 * has acknowledged the run's refusal, and messages of a connection stay in
 * order, so the refusal may be forgotten then.
 */
export class RefusedStarts {
  readonly #refusals = new Map<string, Refusal>();

  get unacknowledged(): readonly Refusal[] {
    return [...this.#refusals.values()];
  }

  find(run: RunId): Refusal | undefined {
    return this.#refusals.get(runKey(run));
  }

  add(refusal: Refusal): void {
    const [oldest] = this.#refusals.keys();
    if (this.#refusals.size >= maxRefusals && oldest !== undefined) {
      this.#refusals.delete(oldest);
    }
    this.#refusals.set(runKey(refusal), refusal);
  }

  remove(run: RunId): void {
    this.#refusals.delete(runKey(run));
  }
}
