import type { KeeperView } from "./keeper_view.ts";

/** How long neither the keeper nor its stream may stir before another stands. */
const keeperSilenceMs = 900;

/** Why the entry should stand for the cell, if it should. */
export function whyStand(view: KeeperView): string | undefined {
  if (view.isBound || !view.isCaughtUp) return undefined;
  switch (view.winner) {
    case "none":
      return view.nowMs - view.readAtMs > view.delayMs ? "first" : undefined;
    case "self":
      return "won_but_deposed";
    case "earlier_self":
      // A weak machine leaves the cell to those that notice its silence.
      return view.isStrong ? "restarted" : whyReplace(view);
    case "other":
      return whyReplace(view);
  }
}

function whyReplace(view: KeeperView): string | undefined {
  if (view.hasResigned) return "resigned";
  const stirredAtMs = view.isConnected ? view.nowMs : view.stirredAtMs;
  const silentMs = view.readAtMs - stirredAtMs;
  return silentMs > keeperSilenceMs + view.delayMs ? "silent" : undefined;
}
