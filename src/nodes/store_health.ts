/** After a failure the store counts as away until a call goes well again. */
const graceMs = 250;

/** Whether the store can be reached from here, as its calls tell. */
export class StoreHealth {
  #isFine = true;
  #fineAtMs = 0;

  /** Takes in how a call ended. */
  note(isAnswered: boolean, nowMs: number): void {
    this.#isFine = isAnswered;
    if (isAnswered) this.#fineAtMs = nowMs;
  }

  /** Whether a call now would most likely fail. */
  isAway(nowMs: number): boolean {
    return !this.#isFine && nowMs - this.#fineAtMs > graceMs;
  }
}
