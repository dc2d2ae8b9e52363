import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { OutageForecast } from "../core/outage/outage_forecast.ts";
import type { OutageState } from "../core/outage/outage_state.ts";
import type { StoreHealth } from "./store_health.ts";

const pollMs = 50;
/** The share of outages that most means; a wrong hold may cost a job. */
const mostShare = 0.75;
/** Reads that show the end of an outage; the tails' reads may hang for 800 ms. */
const probeIntervalMs = 100;
/** An end is reported once the submissions held until then are stored. */
const reportDelayMs = 500;

interface Outage {
  readonly sinceMs: number;
  readonly forecastMs: number;
  wasFull: boolean;
  endedAtMs: number | undefined;
  held: number;
  stored: number;
  refused: number;
}

/** Tells what the state of the store is, and records its outages. */
export class OutageMonitor {
  #outage: Outage | undefined;

  #probedAtMs = -Infinity;

  /**
   * `hearsOutage` tells whether the keeper cannot reach the store either;
   * `probe` sends a small read, whose outcome the health records.
   */
  constructor(
    readonly health: StoreHealth,
    readonly forecast: OutageForecast,
    readonly hearsOutage: () => boolean,
    readonly probe: () => unknown,
    readonly clock: Clock,
    readonly metrics: PrometheusMetrics,
    readonly log: Logger,
  ) {}

  get state(): OutageState {
    const nowMs = this.clock.nowMs();
    const sinceMs = this.health.unreachableSinceMs(nowMs);
    if (sinceMs === undefined) {
      return { scope: "none", ageMs: 0, remainingMs: 0, mostRemainingMs: 0 };
    }
    const ageMs = nowMs - sinceMs;
    return {
      scope: this.hearsOutage() ? "full" : "partial",
      ageMs,
      remainingMs: this.forecast.remainingMs(ageMs),
      mostRemainingMs: this.forecast.remainingMs(ageMs, mostShare),
    };
  }

  /** Whether the store has answered a call since the time. */
  hasAnsweredSince(atMs: number): boolean {
    return this.health.reachedAtMs > atMs;
  }

  /** Counts a submission that met the current outage. */
  count(what: "held" | "stored" | "refused"): void {
    if (this.#outage !== undefined) this.#outage[what] += 1;
  }

  /** Watches the store until the process ends. */
  async run(): Promise<void> {
    while (true) {
      this.update();
      await this.clock.sleep(pollMs);
    }
  }

  /** Records the beginning and the end of outages. */
  update(): void {
    const { state } = this;
    this.metrics.setGauge("outage_forecast_ms", state.remainingMs);
    if (state.scope === "none") this.#recordEnd();
    else {
      this.#recordOutage(state);
      this.#probeIfDue();
    }
  }

  #probeIfDue(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.#probedAtMs < probeIntervalMs) return;
    this.#probedAtMs = nowMs;
    this.probe();
  }

  #recordOutage({ scope, ageMs, remainingMs }: OutageState): void {
    if (this.#outage?.endedAtMs !== undefined) this.#report(this.#outage);
    const inputs = {
      scope,
      ageMs: Math.round(ageMs),
      forecastMs: Math.round(remainingMs),
    };
    if (this.#outage === undefined) {
      this.#outage = {
        sinceMs: this.clock.nowMs() - ageMs,
        forecastMs: this.forecast.remainingMs(0),
        wasFull: false,
        endedAtMs: undefined,
        held: 0,
        stored: 0,
        refused: 0,
      };
      this.log.warn("outage_began", inputs);
    }
    if (scope !== "full" || this.#outage.wasFull) return;
    this.#outage.wasFull = true;
    this.log.warn("outage_confirmed", inputs);
  }

  #recordEnd(): void {
    const outage = this.#outage;
    if (outage === undefined) return;
    const nowMs = this.clock.nowMs();
    if (outage.endedAtMs === undefined) {
      outage.endedAtMs = nowMs;
      // The forecast serves full outages; a cut link's length says nothing.
      if (outage.wasFull) this.forecast.record(nowMs - outage.sinceMs);
    } else if (nowMs - outage.endedAtMs >= reportDelayMs) this.#report(outage);
  }

  #report(outage: Outage): void {
    const { sinceMs, endedAtMs, forecastMs, wasFull } = outage;
    const { held, stored, refused } = outage;
    this.#outage = undefined;
    this.log.info("outage_ended", {
      scope: wasFull ? "full" : "partial",
      lengthMs: Math.round((endedAtMs ?? this.clock.nowMs()) - sinceMs),
      forecastMs: Math.round(forecastMs),
      held,
      stored,
      refused,
    });
  }
}
