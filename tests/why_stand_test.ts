import { expect } from "chai";
import type { KeeperView } from "../src/cellhost/keeper_view.ts";
import { whyStand } from "../src/cellhost/why_stand.ts";

const calm: KeeperView = {
  isBound: false,
  isCaughtUp: true,
  isStrong: true,
  winner: "other",
  hasResigned: false,
  isConnected: true,
  stirredAtMs: 10_000,
  readAtMs: 10_000,
  nowMs: 10_000,
  delayMs: 100,
};

describe("an entry stands for its cell", () => {
  const cases: {
    name: string;
    change: Partial<KeeperView>;
    reason: string | undefined;
  }[] = [
    { name: "not while a keeper is there", change: {}, reason: undefined },
    {
      name: "when nobody ever has, after its delay",
      change: { winner: "none", nowMs: 10_101 },
      reason: "first",
    },
    {
      name: "not within its delay",
      change: { winner: "none", nowMs: 10_099 },
      reason: undefined,
    },
    {
      name: "when its own earlier life kept it",
      change: { winner: "earlier_self" },
      reason: "restarted",
    },
    {
      name: "not at once after a restart on a weak machine",
      change: { winner: "earlier_self", isStrong: false },
      reason: undefined,
    },
    {
      name: "on a weak machine when nobody else has, after a restart",
      change: {
        winner: "earlier_self",
        isStrong: false,
        isConnected: false,
        stirredAtMs: 8_999,
      },
      reason: "silent",
    },
    {
      name: "when it has won and was deposed",
      change: { winner: "self" },
      reason: "won_but_deposed",
    },
    {
      name: "when the keeper is silent",
      change: { isConnected: false, stirredAtMs: 8_999 },
      reason: "silent",
    },
    {
      name: "not when the keeper was silent for less",
      change: { isConnected: false, stirredAtMs: 9_001 },
      reason: undefined,
    },
    {
      name: "not when the store has shown nothing since",
      change: { isConnected: false, stirredAtMs: 8_000, readAtMs: 8_500 },
      reason: undefined,
    },
    {
      name: "at once when the keeper has resigned",
      change: { hasResigned: true },
      reason: "resigned",
    },
    {
      name: "not when it leaves too: it would win and not keep",
      change: { hasResigned: true, isBound: true },
      reason: undefined,
    },
    {
      name: "not when it leaves or keeps already",
      change: { winner: "earlier_self", isBound: true },
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
      expect(whyStand({ ...calm, ...change })).to.equal(reason);
    });
  }
});
