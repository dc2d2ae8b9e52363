import type { KeeperView } from "./keeper_view.ts";

/** A keeper whose stream does not grow for this long may be replaced. */
const keeperSilenceMs = 900;

/** The reason for the entry to campaign; undefined if it should not. */
export function campaignReason(view: KeeperView): string | undefined {
  if (view.isIneligible || !view.isCaughtUp) return undefined;
  switch (view.winner) {
    case "none":
      return view.nowMs - view.readAtMs > view.delayMs ? "first" : undefined;
    case "self":
      return "won_but_deposed";
    case "earlier_self":
      // On a weak machine, first leave time for stronger entries to campaign.
      return view.isStrong ? "restarted" : replacementReason(view);
    case "other":
      return replacementReason(view);
  }
}

function replacementReason(view: KeeperView): string | undefined {
  if (view.hasResigned) return "resigned";
  const activeAtMs = view.isConnected ? view.nowMs : view.keeperActiveAtMs;
  const silenceMs = view.readAtMs - activeAtMs;
  return silenceMs > keeperSilenceMs + view.delayMs ? "silent" : undefined;
}
