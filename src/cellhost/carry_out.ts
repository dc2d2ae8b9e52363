import type { ProcessMetrics } from "../adapters/process_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { LaterEffect } from "./later_effect.ts";
import type { MemberLinks } from "./member_links.ts";
import { OrderBox } from "./order_box.ts";

/**
 * Executes effects whose rows are stored. All starts for a worker go out in
 * one message, and so do all job states for the entries.
 */
export function carryOut(
  effects: readonly LaterEffect[],
  links: MemberLinks,
  directory: JobDirectory,
  metrics: ProcessMetrics,
  log: Logger,
): void {
  const batch = new OrderBox();
  const jobs: (readonly [JobId, JobState])[] = [];
  for (const effect of effects) {
    switch (effect.kind) {
      case "start":
        batch.start(effect.node, effect.command);
        break;
      case "forget": {
        const { life, end } = effect;
        links.send(effect.node, { kind: "forget", life, end });
        break;
      }
      case "show":
        directory.note(effect.job, effect.state);
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
  if (jobs.length > 0) links.sendEntries({ kind: "states", jobs });
}
