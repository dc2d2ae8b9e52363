import { matchesSelector } from "../core/select/matches_selector.ts";
import type { Configuration } from "../schema/configuration.ts";
import type { Labels } from "../schema/labels.ts";

/** Yields what is valid in a configuration but probably a mistake. */
export function* configurationWarnings(
  configuration: Configuration,
  workers: readonly Labels[],
  nowMs: number,
): Generator<string> {
  const { term, pools, jobs } = configuration;
  if (Date.parse(term.endsAt) <= nowMs) {
    yield `term ${term.name} ended at ${term.endsAt}: no job will be accepted`;
  }
  if (workers.length === 0) return;
  for (const pool of pools) {
    const count = workers.filter((labels) =>
      matchesSelector(pool.workers, labels)
    ).length;
    if (count === 0) yield `pool/${pool.name}: its selector matches no worker`;
  }
  for (const job of jobs) {
    const pool = pools.find(({ name }) => name === job.pool);
    const selector = [...pool?.workers ?? [], ...job.workers];
    const count = workers.filter((labels) =>
      matchesSelector(selector, labels)
    ).length;
    if (count === 0) yield `job/${job.name}: its selectors match no worker`;
  }
}
