import { expect } from "chai";
import type { ErrorKind } from "../src/core/errors/error_kind.ts";
import { GpError } from "../src/core/errors/gp_error.ts";
import { PeerTable } from "../src/core/members/peer_table.ts";
import type { PeerInfo } from "../src/core/members/peer_info.ts";
import { planAttempts } from "../src/core/retry/plan_attempts.ts";
import type { CallOutcome } from "../src/core/retry/call_outcome.ts";
import type { ServiceCall } from "../src/core/retry/service_call.ts";
import { RetryBudget } from "../src/core/retry/retry_budget.ts";
import { RoundRobin } from "../src/core/route/round_robin.ts";
import { Router } from "../src/core/route/router.ts";
import type { MemberId } from "../src/schema/member_id.ts";
import type { PeerId } from "../src/schema/peer_id.ts";

function sidecar(id: string, state: PeerInfo["state"] = "ready"): PeerInfo {
  return {
    id: id as PeerId,
    incarnation: `${id}-1`,
    startedAtMs: 1,
    role: "sidecar",
    dataCentre: "dc",
    rack: "r",
    endpoint: { host: "127.0.0.1", port: 1 },
    state,
    configRevision: 0,
    runner: {
      service: "s",
      inFlight: 0,
      queued: 0,
      limit: 8,
      slots: 8,
      latencyMs: 1,
    },
  };
}

function request(
  kind: "check" | "order",
  homeIncarnation = "s1-1",
): ServiceCall {
  return {
    id: "r",
    service: "s",
    member: "m" as MemberId,
    kind,
    deadlineAtMs: 1_000,
    body: new Uint8Array(),
    ...(kind === "check" ? {} : {
      idempotencyKey: "k",
      home: { peer: "s1" as PeerId, incarnation: homeIncarnation },
    }),
  };
}

const ok: CallOutcome = { ok: true, body: new Uint8Array(), tookMs: 1 };
const fail = (kind: ErrorKind): CallOutcome => ({
  ok: false,
  error: new GpError(kind),
  tookMs: 1,
});

const cases: readonly {
  name: string;
  kind: "check" | "order";
  outcomes: CallOutcome[];
  /** The sidecars to which the attempts go, in order. */
  sentTo: string[];
  result: ErrorKind | "ok";
  /** The incarnation of the home that the order's key names. */
  homeIncarnation?: string;
  /** Retries that the budget allows; its initial reserve by default. */
  budget?: number;
}[] = [
  {
    name: "an answer",
    kind: "check",
    outcomes: [ok],
    sentTo: ["s1"],
    result: "ok",
  },
  {
    name: "a refused check is retried on another sidecar",
    kind: "check",
    outcomes: [fail("overloaded"), ok],
    sentTo: ["s1", "s3"],
    result: "ok",
  },
  {
    name: "a check with an unknown outcome is retried",
    kind: "check",
    outcomes: [fail("outcome_unknown"), ok],
    sentTo: ["s1", "s3"],
    result: "ok",
  },
  {
    name: "a check with a mismatched answer is retried",
    kind: "check",
    outcomes: [fail("mismatched"), ok],
    sentTo: ["s1", "s3"],
    result: "ok",
  },
  {
    name: "a bad request is not retried",
    kind: "check",
    outcomes: [fail("bad_request")],
    sentTo: ["s1"],
    result: "bad_request",
  },
  {
    name: "there are at most three attempts",
    kind: "check",
    outcomes: [fail("leaving"), fail("leaving"), fail("leaving")],
    sentTo: ["s1", "s3", "s2"],
    result: "leaving",
  },
  {
    name: "without budget there is no retry",
    kind: "check",
    outcomes: [fail("leaving")],
    sentTo: ["s1"],
    result: "leaving",
    budget: 0,
  },
  {
    name: "a refusal after a lost answer leaves the outcome unknown",
    kind: "check",
    outcomes: [fail("outcome_unknown"), fail("overloaded"), fail("overloaded")],
    sentTo: ["s1", "s3", "s2"],
    result: "outcome_unknown",
  },
  {
    name: "a refusal after a failure leaves the outcome unknown",
    kind: "check",
    outcomes: [fail("runner_failed"), fail("leaving"), fail("leaving")],
    sentTo: ["s1", "s3", "s2"],
    result: "outcome_unknown",
  },
  {
    name: "an order may have run on a home that is unreachable now",
    kind: "order",
    outcomes: [
      fail("runner_unreachable"),
      fail("runner_unreachable"),
      fail("runner_unreachable"),
    ],
    sentTo: ["s1", "s1", "s1"],
    result: "outcome_unknown",
  },
  {
    name: "an order that its home refuses did not run",
    kind: "order",
    outcomes: [fail("overloaded"), fail("overloaded"), fail("overloaded")],
    sentTo: ["s1", "s1", "s1"],
    result: "overloaded",
  },
  {
    name: "an order is sent to its home",
    kind: "order",
    outcomes: [ok],
    sentTo: ["s1"],
    result: "ok",
  },
  {
    name: "an order is retried on its home only",
    kind: "order",
    outcomes: [fail("outcome_unknown"), ok],
    sentTo: ["s1", "s1"],
    result: "ok",
  },
  {
    name: "a failed order is not retried",
    kind: "order",
    outcomes: [fail("runner_failed")],
    sentTo: ["s1"],
    result: "runner_failed",
  },
  {
    name: "an order whose home has restarted is not sent",
    kind: "order",
    outcomes: [],
    sentTo: [],
    result: "outcome_unknown",
    homeIncarnation: "s1-0",
  },
];

describe("the attempts of a call", () => {
  for (
    const { name, kind, outcomes, sentTo, result, homeIncarnation, budget }
      of cases
  ) {
    it(name, () => {
      const peers = new PeerTable("e1" as PeerId);
      for (const id of ["s1", "s2", "s3"]) peers.put(sidecar(id), 0, 0);
      peers.put(sidecar("s4", "leaving"), 0, 0);
      const router = new Router(peers, new RoundRobin());
      const retries = new RetryBudget(0.1);
      if (budget === 0) { while (retries.tryWithdraw()) continue; }
      const plan = planAttempts(
        request(kind, homeIncarnation),
        router,
        retries,
        () => 0,
        () => {},
      );
      const sent: string[] = [];
      const remaining = [...outcomes];
      let step = plan.next();
      while (!step.done) {
        sent.push(step.value.peer.id);
        step = plan.next(remaining.shift() as CallOutcome);
      }
      expect(sent).to.eql(sentTo);
      expect(step.value.ok ? "ok" : step.value.error.kind).to.equal(result);
      expect(remaining).to.eql([]);
    });
  }

  it("retries add at most their ratio to the load", () => {
    const budget = new RetryBudget(0.1);
    let retries = 0;
    for (let n = 0; n < 10_000; n++) {
      budget.deposit();
      if (budget.tryWithdraw()) retries += 1;
    }
    // A tenth of the calls, and the initial reserve of 3.
    expect(retries).to.be.at.most(1_003);
  });
});

describe("the peer table", () => {
  // Name, announcements as [change, ageMs, nowMs], and the state at the end.
  const cases: [
    string,
    [Partial<PeerInfo>, number, number][],
    string | undefined,
  ][] = [
    ["a fresh announcement", [[{}, 0, 0]], "ready"],
    ["an older announcement is ignored", [[{}, 0, 1_000], [
      { state: "leaving" },
      2_000,
      1_500,
    ]], "ready"],
    ["an announcement of an earlier life is ignored", [[
      { startedAtMs: 5, incarnation: "x" },
      0,
      0,
    ], [{ state: "leaving" }, 0, 10]], "ready"],
    ["a later life replaces an earlier one", [[{}, 0, 0], [
      { startedAtMs: 9, incarnation: "y", state: "leaving" },
      0,
      10,
    ]], "leaving"],
    ["an announcement from long ago is ignored", [[{}, 5_000, 0]], undefined],
  ];
  for (const [name, announcements, state] of cases) {
    it(name, () => {
      const peers = new PeerTable("e1" as PeerId);
      for (const [change, ageMs, nowMs] of announcements) {
        peers.put({ ...sidecar("s1"), ...change }, ageMs, nowMs);
      }
      expect(peers.find("s1" as PeerId)?.state).to.equal(state);
    });
  }

  it("expires silent peers and raises its version", () => {
    const peers = new PeerTable("e1" as PeerId);
    peers.put(sidecar("s1"), 0, 0);
    const { version } = peers;
    peers.expire(4_000);
    expect(peers.version).to.equal(version);
    peers.expire(4_001);
    expect(peers.version).to.equal(version + 1);
    expect(peers.find("s1" as PeerId)).to.equal(undefined);
  });
});
