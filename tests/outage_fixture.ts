import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { OutageForecast } from "../src/core/outage/outage_forecast.ts";
import type { AppendResult } from "../src/core/store/append_result.ts";
import type { Row } from "../src/core/store/row.ts";
import type { StoreResult } from "../src/core/store/store_result.ts";
import type { WriteGuard } from "../src/core/store/write_guard.ts";
import { HoldingStorer } from "../src/nodes/holding_storer.ts";
import { OutageMonitor } from "../src/nodes/outage_monitor.ts";
import { StoreHealth } from "../src/nodes/store_health.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";
import { err } from "true-myth/result";

const callMs = 4;
const readIntervalMs = 200;
const readTimeoutMs = 800;
/** When a keeper has reported an outage to all entries at the latest. */
const unsureAfterMs = 1_600;
const unsureValidMs = 1_000;
/** An entry follows several streams. */
const readerDelaysMs = [0, 50, 120];
const maxAppendBytes = 2_000_000;

/** How the store fails: 503 at once, no answer, or applied without answer. */
type OutageMode = "refusing" | "silent" | "losing";

/** A store with outages; every call takes `callMs` or until its timeout. */
class OutageStore extends StoreModel {
  mode: OutageMode | undefined;
  /** Whether appends are refused while reads are served. */
  refusesAppends = false;
  /** The only limit is `maxAppendBytes`. */
  override limits = { recordBytes: Infinity, callBytes: Infinity };
  /** After how long the next append ends without answer; 0 if it does not. */
  nextAppendLostAfterMs = 0;
  /** The keys of each append that was sent. */
  readonly appends: string[][] = [];

  constructor(readonly clock: VirtualClock, readonly health: StoreHealth) {
    super();
  }

  override async append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
    timeoutMs = 1_000,
  ): Promise<StoreResult<AppendResult>> {
    const bytes = rows.reduce((sum, row) => sum + (row.value?.length ?? 0), 0);
    this.appends.push(rows.map(({ key }) => key));
    if (this.nextAppendLostAfterMs > 0) {
      const waitMs = this.nextAppendLostAfterMs;
      this.nextAppendLostAfterMs = 0;
      await this.clock.sleep(waitMs);
      return err({ kind: "unknown", detail: "no answer" });
    }
    if (this.mode === "losing") await super.append(stream, rows, guard);
    const isAnswered = await this.#call(timeoutMs);
    if (isAnswered === undefined) {
      return err({ kind: "unknown", detail: "no answer" });
    }
    if (!isAnswered || this.refusesAppends) {
      return err({ kind: "refused", detail: "status 503" });
    }
    const isRejected = rows.some(({ key }) => this.rejectedKeys.has(key));
    if (bytes > maxAppendBytes || isRejected) {
      return err({ kind: "rejected", detail: "status 413" });
    }
    return await super.append(stream, rows, guard);
  }

  override async read(stream: string): ReturnType<StoreModel["read"]> {
    await this.#call(readTimeoutMs);
    return await super.read(stream, 0);
  }

  /** Reads as the tails do, which shows whether the store is reached. */
  async keepReading(): Promise<void> {
    while (true) {
      await this.#call(readTimeoutMs);
      await this.clock.sleep(readIntervalMs);
    }
  }

  /** Whether the store served the call; undefined if it did not answer. */
  async #call(timeoutMs: number): Promise<boolean | undefined> {
    const { mode } = this;
    const sentAtMs = this.clock.nowMs();
    const isAnswered = mode === undefined || mode === "refusing";
    await this.clock.sleep(isAnswered ? callMs : timeoutMs);
    const nowMs = this.clock.nowMs();
    this.health.recordCall(mode === undefined, nowMs, nowMs - sentAtMs);
    return isAnswered ? mode === undefined : undefined;
  }
}

/** An entry's storer on virtual time, with a store that can fail. */
export function createOutageFixture(forecast = new OutageForecast()) {
  const clock = new VirtualClock();
  const health = new StoreHealth(true);
  const store = new OutageStore(clock, health);
  const metrics = new PrometheusMetrics();
  const log = new Logger("silent", {});
  let outage = { beganAtMs: Infinity, endedAtMs: Infinity };
  let isPartial = false;
  const hearsOutage = () => {
    const nowMs = clock.nowMs();
    return !isPartial && nowMs >= outage.beganAtMs + unsureAfterMs &&
      nowMs < outage.endedAtMs + unsureValidMs;
  };
  const monitor = new OutageMonitor(
    health,
    forecast,
    hearsOutage,
    () => store.read("jobs"),
    clock,
    metrics,
    log,
  );
  const storer = new HoldingStorer({
    store,
    stream: "jobs",
    monitor,
    isStored: () => false,
    clock,
    metrics,
    log,
  });
  for (const delayMs of readerDelaysMs) {
    void clock.sleep(delayMs).then(() => store.keepReading());
  }
  void monitor.run();
  return {
    clock,
    health,
    store,
    forecast,
    metrics,
    monitor,
    storer,
    begin(mode: OutageMode, partial = false): void {
      store.mode = mode;
      isPartial = partial;
      outage = { beganAtMs: clock.nowMs(), endedAtMs: Infinity };
    },
    end(): void {
      store.mode = undefined;
      outage.endedAtMs = clock.nowMs();
    },
    /** Submits a row; the outcome is pushed to `results`. */
    submit(
      key: string,
      results: string[],
      { withinMs = 2_850, value = key, signal = new AbortController().signal } =
        {},
    ): void {
      const arrivedAtMs = clock.nowMs();
      const deadlineMs = withinMs + 150;
      const time = { arrivedAtMs, deadlineMs, withinMs, signal };
      void storer.store({ key, value }, time).then((outcome) => {
        const { kind } = outcome;
        results.push(
          kind === "refused" ? `${key} ${outcome.reason}` : `${key} ${kind}`,
        );
      });
    },
  };
}
