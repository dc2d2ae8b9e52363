/** What a party asks for, as a share of a pool. */
interface Claimant {
  readonly demand: number;
  readonly weight: number;
}

/**
 * Divides a total by weighted max-min fairness: no claimant gets more than its
 * demand, and what it leaves goes to the others. Returns what each one gets.
 */
export function fairLevels(
  claimants: readonly Claimant[],
  total: number,
): number[] {
  const levels = claimants.map(() => 0);
  const byNeed = claimants.map((_, index) => index).sort((a, b) =>
    claimants[a]!.demand / claimants[a]!.weight -
    claimants[b]!.demand / claimants[b]!.weight
  );
  let left = total;
  let weights = claimants.reduce((sum, { weight }) => sum + weight, 0);
  for (const index of byNeed) {
    const { demand, weight } = claimants[index]!;
    const level = Math.min(demand, left * weight / weights);
    levels[index] = level;
    left -= level;
    weights -= weight;
  }
  return levels;
}
