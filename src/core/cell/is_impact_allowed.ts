/** The highest `excess` of `FillerImpact` that strict placement allows. */
const maxExcess = 0.03;

/** Whether strict placement allows a filler of this impact on services. */
export function isImpactAllowed(
  { excess }: { readonly excess: number },
): boolean {
  return excess <= maxExcess;
}
