/** Extra work is bounded to this share of the work that runs. */
const extraShare = 0.05;
/** Work counts for about this long. */
const halfLifeMs = 30_000;

/** Bounds extra work to a share of the work that has run lately. */
export class WorkBudget {
  /** Core-milliseconds, decayed. */
  #worked = 0;
  #extra = 0;
  #atMs = -Infinity;
  /** All extra work so far, in core-milliseconds. */
  extraCoreMs = 0;

  addWork(coreMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#worked += coreMs;
  }

  /** Spends extra work, unless that exceeds the share. */
  trySpend(coreMs: number, nowMs: number): boolean {
    this.#decay(nowMs);
    if (this.#extra + coreMs > extraShare * this.#worked) return false;
    this.#extra += coreMs;
    this.extraCoreMs += coreMs;
    return true;
  }

  #decay(nowMs: number): void {
    const ageMs = nowMs - this.#atMs;
    if (Number.isFinite(ageMs)) {
      const keep = 2 ** (-ageMs / halfLifeMs);
      this.#worked *= keep;
      this.#extra *= keep;
    }
    this.#atMs = nowMs;
  }
}
