/** What a keeper of a hundred workers needs; see CAPACITY.md. */
const requiredCores = 0.6;
const requiredLinkMbps = 100;

/** The share of a keeper's resource needs that a machine meets, 0 to 1. */
export function keeperStrength(
  { cores, linkMbps }: { readonly cores: number; readonly linkMbps: number },
): number {
  return Math.min(1, cores / requiredCores, linkMbps / requiredLinkMbps);
}
