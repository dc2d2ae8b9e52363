import { sum } from "./sum.ts";

/** The largest sum of as many consecutive values as a window holds. */
export function worstWindow(values: readonly number[], size: number): number {
  let worst = 0;
  for (let from = 0; from + size <= values.length; from += 1) {
    worst = Math.max(worst, sum(values.slice(from, from + size)));
  }
  return worst;
}
