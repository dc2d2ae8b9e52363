import type { Resources } from "../../schema/resources.ts";

/** The largest fraction of a total that is used, over all resources. */
export function dominantShare(used: Resources, total: Resources): number {
  const fraction = (amount: number, of: number): number =>
    of > 0 ? amount / of : 0;
  return Math.max(
    fraction(used.cpuMilli, total.cpuMilli),
    fraction(used.memoryBytes, total.memoryBytes),
    fraction(used.accelerators, total.accelerators),
  );
}
