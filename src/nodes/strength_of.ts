/** A keeper of a hundred workers needs about this; measured, see CAPACITY.md. */
const enoughCores = 0.6;
const enoughLinkMbps = 100;

/** How far a machine's share suits a keeper: 1 is enough, 0 is nothing. */
export function strengthOf(
  { cores, linkMbps }: { readonly cores: number; readonly linkMbps: number },
): number {
  return Math.min(1, cores / enoughCores, linkMbps / enoughLinkMbps);
}
