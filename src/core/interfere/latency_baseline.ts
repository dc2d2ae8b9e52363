const smoothingDown = 0.2;
const smoothingUp = 0.002;

/**
 * The usual latency of each service: an exponential average that falls quickly
 * and rises slowly, so that lasting interference does not pass for usual.
 */
export class LatencyBaseline {
  readonly #usualMs = new Map<string, number>();

  /** Records a measurement; returns it as a multiple of the usual latency. */
  observe(service: string, latencyMs: number): number {
    const usualMs = this.#usualMs.get(service) ?? latencyMs;
    const smoothing = latencyMs < usualMs ? smoothingDown : smoothingUp;
    const nextMs = usualMs + (latencyMs - usualMs) * smoothing;
    this.#usualMs.set(service, nextMs);
    return nextMs > 0 ? latencyMs / nextMs : 1;
  }
}
