import type { ProcessMetrics } from "../adapters/process_metrics.ts";
import type { Logger } from "../adapters/logger.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { LaterEffect } from "./later_effect.ts";
import type { MemberLink } from "./member_link.ts";
import { OrderBox } from "./order_box.ts";

/** Carries out effects whose saves are stored: one message a member. */
export function carryOut(
  effects: readonly LaterEffect[],
  links: ReadonlyMap<NodeId, MemberLink>,
  directory: JobDirectory,
  metrics: ProcessMetrics,
  log: Logger,
): void {
  const box = new OrderBox();
  const jobs: (readonly [JobId, JobState])[] = [];
  for (const effect of effects) {
    switch (effect.kind) {
      case "start":
        box.start(effect.node, effect.order);
        break;
      case "forget": {
        const { life, end } = effect;
        links.get(effect.node)?.send({ kind: "forget", life, end });
        break;
      }
      case "show":
        directory.note(effect.job, effect.state);
        jobs.push([effect.job, effect.state]);
        break;
    }
  }
  for (const [node, starts] of box.starts) {
    for (const { task, run, checkpoint } of starts) {
      metrics.count("starts");
      log.info("start", { node, task, run, checkpoint });
    }
    links.get(node)?.send({ kind: "orders", starts, stops: [] });
  }
  if (jobs.length === 0) return;
  for (const link of links.values()) {
    if (link.row.role === "entry") link.send({ kind: "states", jobs });
  }
}
