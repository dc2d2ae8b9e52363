import type { PrometheusMetrics } from "../adapters/prometheus_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import type { PeerLinks } from "./peer_links.ts";
import { StartBatch } from "./start_batch.ts";

/**
 * Executes effects whose preceding rows are stored. All starts for a worker are
 * sent in one message, and so are all job states for the entries.
 */
export function runEffects(
  effects: readonly DeferredEffect[],
  links: PeerLinks,
  directory: JobDirectory,
  metrics: PrometheusMetrics,
  log: Logger,
): void {
  const batch = new StartBatch();
  const jobs: (readonly [JobId, JobState])[] = [];
  for (const effect of effects) {
    switch (effect.kind) {
      case "start":
        batch.add(effect.node, effect.command);
        break;
      case "forget": {
        const { life, end } = effect;
        links.send(effect.node, { kind: "forget", life, end });
        break;
      }
      case "show":
        directory.advance(effect.job, effect.state);
        jobs.push([effect.job, effect.state]);
        break;
    }
  }
  for (const [node, starts] of batch.starts) {
    for (const { task, run, checkpoint } of starts) {
      metrics.count("starts");
      log.info("start", { node, task, run, checkpoint });
    }
    links.send(node, { kind: "orders", starts, stops: [] });
  }
  if (jobs.length > 0) links.sendToEntries({ kind: "states", jobs });
}
