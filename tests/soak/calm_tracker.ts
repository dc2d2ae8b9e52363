/** Knows since when no fault has been active. */
export class CalmTracker {
  #active = 0;
  #endedAtMs = performance.now();

  /** When the last fault ended; `Infinity` while one is active. */
  get sinceMs(): number {
    return this.#active > 0 ? Infinity : this.#endedAtMs;
  }

  begin(): void {
    this.#active += 1;
  }

  end(): void {
    this.#active -= 1;
    this.#endedAtMs = performance.now();
  }

  /** Counts a fault for as long as it takes. */
  async during<T>(fault: () => Promise<T>): Promise<T> {
    this.begin();
    try {
      return await fault();
    } finally {
      this.end();
    }
  }
}
