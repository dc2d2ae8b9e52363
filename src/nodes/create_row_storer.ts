import type { Logger } from "../adapters/logger.ts";
import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import { systemClock } from "../adapters/system_clock.ts";
import { streams } from "../cellhost/streams.ts";
import { submissionStreams } from "../cellhost/submission_streams.ts";
import { OutageForecast } from "../core/outage/outage_forecast.ts";
import type { EntryNode } from "./entry_node.ts";
import { FailoverStore } from "./failover_store.ts";
import { HoldingStorer } from "./holding_storer.ts";
import { isStored } from "./is_stored.ts";
import { OutageMonitor } from "./outage_monitor.ts";
import { RetryingStorer } from "./retrying_storer.ts";
import type { RowStorer } from "./row_storer.ts";
import type { StoreHealth } from "./store_health.ts";
import { SubmissionWriter } from "./submission_writer.ts";

/** Creates the storer of callers' rows that the entry's options ask for. */
export function createRowStorer(
  entry: EntryNode,
  health: StoreHealth,
  metrics: PrometheusMetrics,
  log: Logger,
): RowStorer {
  const { directory, jobTails, options } = entry;
  const clock = systemClock;
  const store = new FailoverStore({
    store: entry.store,
    streams: submissionStreams(options.submissionStreams),
    readAtMs: (stream) => jobTails.readAtMsOf(stream),
    clock,
    metrics,
    log,
  });
  if (!options.hardLoad.holdsSubmissions) {
    const writer = new SubmissionWriter(store, streams.jobs, clock);
    return new RetryingStorer(writer, health, clock);
  }
  const monitor = new OutageMonitor(
    health,
    new OutageForecast(),
    () => entry.hearsOutage(clock.nowMs()),
    () => store.read(streams.jobs, jobTails.end, 0),
    clock,
    metrics,
    log,
  );
  void monitor.run();
  return new HoldingStorer({
    store,
    stream: streams.jobs,
    monitor,
    isStored: (key) => isStored(directory, key),
    clock,
    metrics,
    log,
  });
}
