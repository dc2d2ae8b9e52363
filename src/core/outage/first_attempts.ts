const rememberMs = 60_000;
/** Bounds memory to some 1 MB. */
const maxKeys = 10_000;

/**
 * Remembers when submissions that met an outage were first attempted, so that
 * returning ones are stored in that order.
 */
export class FirstAttempts {
  /** The times of the first attempts by key, oldest note first. */
  readonly #atMs = new Map<string, number>();

  /** Notes an attempt, and returns the time of the first. */
  note(key: string, nowMs: number): number {
    const knownAtMs = this.#knownAtMs(key, nowMs);
    if (knownAtMs !== undefined) return knownAtMs;
    this.#atMs.delete(key);
    const [oldest] = this.#atMs.keys();
    if (this.#atMs.size >= maxKeys && oldest !== undefined) {
      this.#atMs.delete(oldest);
    }
    this.#atMs.set(key, nowMs);
    return nowMs;
  }

  /** The time of the first attempt; now if none is known. */
  firstAtMs(key: string, nowMs: number): number {
    return this.#knownAtMs(key, nowMs) ?? nowMs;
  }

  forget(key: string): void {
    this.#atMs.delete(key);
  }

  #knownAtMs(key: string, nowMs: number): number | undefined {
    const atMs = this.#atMs.get(key);
    return atMs !== undefined && nowMs - atMs <= rememberMs ? atMs : undefined;
  }
}
