import { expect } from "chai";
import type { KeeperView } from "../src/cellhost/keeper_view.ts";
import { campaignReason } from "../src/cellhost/campaign_reason.ts";

/** A connected keeper and no reason to replace it. */
const healthyView: KeeperView = {
  isIneligible: false,
  isCaughtUp: true,
  isStrong: true,
  winner: "other",
  hasResigned: false,
  isConnected: true,
  keeperActiveAtMs: 10_000,
  readAtMs: 10_000,
  nowMs: 10_000,
  delayMs: 100,
};

describe("an entry campaigns to be the keeper", () => {
  const cases: {
    name: string;
    change: Partial<KeeperView>;
    reason: string | undefined;
  }[] = [
    { name: "not while a keeper is connected", change: {}, reason: undefined },
    {
      name: "when no keeper was ever elected, after its delay",
      change: { winner: "none", nowMs: 10_101 },
      reason: "first",
    },
    {
      name: "not within its delay",
      change: { winner: "none", nowMs: 10_099 },
      reason: undefined,
    },
    {
      name: "when its own earlier process was the keeper",
      change: { winner: "earlier_self" },
      reason: "restarted",
    },
    {
      name: "not at once after a restart on a weak machine",
      change: { winner: "earlier_self", isStrong: false },
      reason: undefined,
    },
    {
      name: "after a restart on a weak machine when no other entry has",
      change: {
        winner: "earlier_self",
        isStrong: false,
        isConnected: false,
        keeperActiveAtMs: 8_999,
      },
      reason: "silent",
    },
    {
      name: "when it won the election but was deposed",
      change: { winner: "self" },
      reason: "won_but_deposed",
    },
    {
      name: "when the keeper is silent",
      change: { isConnected: false, keeperActiveAtMs: 8_999 },
      reason: "silent",
    },
    {
      name: "not when the keeper was silent for less time",
      change: { isConnected: false, keeperActiveAtMs: 9_001 },
      reason: undefined,
    },
    {
      name: "not when the keeper's stream was not read since",
      change: { isConnected: false, keeperActiveAtMs: 8_000, readAtMs: 8_500 },
      reason: undefined,
    },
    {
      name: "at once when the keeper has resigned",
      change: { hasResigned: true },
      reason: "resigned",
    },
    {
      name: "not when it shuts down too and could not act as keeper",
      change: { hasResigned: true, isIneligible: true },
      reason: undefined,
    },
    {
      name: "not when it is the keeper or shuts down",
      change: { winner: "earlier_self", isIneligible: true },
      reason: undefined,
    },
    {
      name: "not before it has read all streams",
      change: { winner: "earlier_self", isCaughtUp: false },
      reason: undefined,
    },
  ];
  for (const { name, change, reason } of cases) {
    it(name, () => {
      expect(campaignReason({ ...healthyView, ...change })).to.equal(reason);
    });
  }
});
