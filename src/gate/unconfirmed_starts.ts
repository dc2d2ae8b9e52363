import type { RunnerResult } from "./runner_result.ts";

/**
 * The calls that start runs and that a next life of the runner may have taken:
 * the life that they were meant for has answered no poll that was sent later.
 */
export class UnconfirmedStarts {
  #underWay = 0;
  #endedAtMs: number | undefined;

  constructor(readonly nowMs: () => number) {}

  /** Makes a call that starts a run. */
  async track<T>(
    call: () => Promise<RunnerResult<T>>,
  ): Promise<RunnerResult<T>> {
    this.#underWay += 1;
    const answer = await call().finally(() => this.#underWay -= 1);
    const isUnsent = !answer.isOk &&
      (answer.failure === "refused" || answer.failure === "unreached");
    if (!isUnsent) this.#endedAtMs = this.nowMs();
    return answer;
  }

  /** Records that the runner's known life has answered a poll. */
  confirm(pollSentAtMs: number): void {
    if (this.#endedAtMs === undefined) return;
    if (this.#endedAtMs <= pollSentAtMs) this.#endedAtMs = undefined;
  }

  /** When the last of them ended, or now; undefined if there are none. */
  get lastAtMs(): number | undefined {
    return this.#underWay > 0 ? this.nowMs() : this.#endedAtMs;
  }
}
