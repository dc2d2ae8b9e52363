const smoothingDown = 0.2;
const smoothingUp = 0.002;

/** The usual latency of each service: falls quickly, rises slowly. */
export class Baseline {
  readonly #usualMs = new Map<string, number>();

  /** Takes a measurement; gives it as a multiple of the usual latency. */
  ratio(service: string, latencyMs: number): number {
    const usualMs = this.#usualMs.get(service) ?? latencyMs;
    const smoothing = latencyMs < usualMs ? smoothingDown : smoothingUp;
    const nextMs = usualMs + (latencyMs - usualMs) * smoothing;
    this.#usualMs.set(service, nextMs);
    return nextMs > 0 ? latencyMs / nextMs : 1;
  }
}
