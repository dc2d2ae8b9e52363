import type { HistoryStep } from "./history_step.ts";
import { runCellHistory } from "./run_cell_history.ts";

/**
 * Leaves out steps of a failing history as long as the rest still breaks the
 * same rule. The time of a step that is left out is added to the next one.
 */
export async function shrinkHistory(
  seed: number,
  steps: readonly HistoryStep[],
  rule: string,
): Promise<readonly HistoryStep[]> {
  let shortest = steps;
  for (let width = Math.ceil(steps.length / 2); width >= 1;) {
    let isShorter = false;
    for (let at = 0; at < shortest.length;) {
      const shorter = without(shortest, at, width);
      const { violations } = await runCellHistory(seed, shorter);
      if (violations.some((violation) => violation.startsWith(rule))) {
        shortest = shorter;
        isShorter = true;
      } else at += width;
    }
    if (!isShorter || width > 1) width = Math.floor(width / 2);
  }
  return shortest;
}

function without(
  steps: readonly HistoryStep[],
  at: number,
  width: number,
): HistoryStep[] {
  const removedMs = steps.slice(at, at + width)
    .reduce((sum, { afterMs }) => sum + afterMs, 0);
  const next = steps[at + width];
  return [
    ...steps.slice(0, at),
    ...(next === undefined
      ? []
      : [{ ...next, afterMs: next.afterMs + removedMs }]),
    ...steps.slice(at + width + 1),
  ];
}
