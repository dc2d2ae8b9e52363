import type { Cell } from "../core/cell/cell.ts";
import type { JobId } from "../core/jobs/job_id.ts";
import type { JobState } from "../core/jobs/job_state.ts";
import type { DeferredEffect } from "./deferred_effect.ts";
import type { KeeperSessionOptions } from "./keeper_session_options.ts";
import { groupBy } from "./group_by.ts";

/**
 * Executes effects whose preceding rows are stored. All starts for a worker are
 * sent in one message, and so are all job states for the entries. A start whose
 * claim has gone meanwhile is dropped: its run number is given up.
 */
export function runEffects(
  effects: readonly DeferredEffect[],
  cell: Cell,
  { directory, links, load, log, metrics }: KeeperSessionOptions,
): void {
  const ordered: Extract<DeferredEffect, { kind: "start" }>[] = [];
  const jobs: (readonly [JobId, JobState])[] = [];
  for (const effect of effects) {
    switch (effect.kind) {
      case "start":
        if (cell.markOrdered(effect.node, effect.command)) ordered.push(effect);
        else metrics.count("starts_dropped");
        break;
      case "forget": {
        const { life, end } = effect;
        links.send(effect.node, { kind: "forget", life, end });
        break;
      }
      case "show":
        directory.advance(effect.job, effect.state);
        load?.noteState(effect.job, effect.state);
        jobs.push([effect.job, effect.state]);
        break;
    }
  }
  for (const [node, group] of groupBy(ordered, ({ node }) => node)) {
    const starts = group.map(({ command }) => command);
    for (const { task, run, checkpoint } of starts) {
      metrics.count("starts");
      log.info("start", { node, task, run, checkpoint });
    }
    links.send(node, { kind: "orders", starts, stops: [] });
  }
  if (jobs.length > 0) links.sendToEntries({ kind: "states", jobs });
}
