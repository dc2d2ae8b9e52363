import type { StepDefinition } from "../jobs/step_definition.ts";

/**
 * Returns for each step the expected time from its start to the end of the job,
 * along the longest chain of steps that depend on it.
 */
export function criticalPaths(
  steps: readonly StepDefinition[],
  timesMs: readonly number[] = steps.map(({ expectedMs }) => expectedMs),
): number[] {
  const chains = [...timesMs];
  for (let step = steps.length - 1; step >= 0; step--) {
    const pathMs = chains[step] ?? 0;
    for (const earlier of steps[step]?.after ?? []) {
      const ownMs = timesMs[earlier] ?? 0;
      chains[earlier] = Math.max(chains[earlier] ?? 0, ownMs + pathMs);
    }
  }
  return chains;
}
