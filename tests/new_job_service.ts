import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { systemClock } from "../src/adapters/system_clock.ts";
import { streams } from "../src/cellhost/streams.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { defaultStoreLimits } from "../src/core/store/default_store_limits.ts";
import type { Store } from "../src/core/store/store.ts";
import { EntryNode } from "../src/nodes/entry_node.ts";
import { JobService } from "../src/nodes/job_service.ts";
import type { NodeOptions } from "../src/nodes/node_options.ts";
import { parseHardLoad } from "../src/nodes/parse_hard_load.ts";
import { RetryingStorer } from "../src/nodes/retrying_storer.ts";
import { StoreHealth } from "../src/nodes/store_health.ts";
import { SubmissionWriter } from "../src/nodes/submission_writer.ts";

const log = new Logger("silent", {});

/** Creates the service of an entry that is not started. */
export function newJobService(
  store: Store,
  change: Partial<NodeOptions> = {},
): JobService {
  const options = {
    node: "entry" as NodeId,
    incarnation: "1",
    host: "127.0.0.1",
    peerPort: 0,
    bounds: { maxHoldMs: 6_000 },
    strength: 1,
    hardLoad: parseHardLoad(new Map()),
    submissionStreams: 1,
    storeLimits: defaultStoreLimits,
    ...change,
  };
  const advisor = { requestTickets: () => Promise.reject(new Error("none")) };
  const metrics = new PrometheusMetrics();
  const entry = new EntryNode(options, store, advisor, metrics, log);
  const writer = new SubmissionWriter(store, streams.jobs, systemClock);
  const storer = new RetryingStorer(writer, new StoreHealth(), systemClock);
  return new JobService(entry, storer, metrics, log);
}
