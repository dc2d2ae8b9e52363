import type { Resources } from "../../schema/resources.ts";

/** The largest fraction that an amount takes of the total. */
export function dominantShare(used: Resources, total: Resources): number {
  const part = (amount: number, of: number): number => of > 0 ? amount / of : 0;
  return Math.max(
    part(used.cpuMilli, total.cpuMilli),
    part(used.memoryBytes, total.memoryBytes),
    part(used.accelerators, total.accelerators),
  );
}
