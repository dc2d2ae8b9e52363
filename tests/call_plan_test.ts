import { expect } from "chai";
import type { ErrorKind } from "../src/core/errors/error_kind.ts";
import { GpError } from "../src/core/errors/gp_error.ts";
import { Members } from "../src/core/members/members.ts";
import type { PeerInfo } from "../src/core/members/peer_info.ts";
import { callPlan } from "../src/core/retry/call_plan.ts";
import type { CallOutcome } from "../src/core/retry/call_outcome.ts";
import type { CallRequest } from "../src/core/retry/call_request.ts";
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

function request(kind: "check" | "order", home = "s1-1"): CallRequest {
  return {
    id: "r",
    service: "s",
    member: "m" as MemberId,
    kind,
    deadlineAtMs: 1_000,
    body: new Uint8Array(),
    ...(kind === "check" ? {} : {
      idempotencyKey: "k",
      home: { peer: "s1" as PeerId, incarnation: home },
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
  sends: string[];
  ends: ErrorKind | "ok";
  home?: string;
  budget?: number;
}[] = [
  {
    name: "an answer",
    kind: "check",
    outcomes: [ok],
    sends: ["s1"],
    ends: "ok",
  },
  {
    name: "a refusal goes elsewhere",
    kind: "check",
    outcomes: [fail("overloaded"), ok],
    sends: ["s1", "s3"],
    ends: "ok",
  },
  {
    name: "a lost check may run again",
    kind: "check",
    outcomes: [fail("outcome_unknown"), ok],
    sends: ["s1", "s3"],
    ends: "ok",
  },
  {
    name: "a crossed answer may run again",
    kind: "check",
    outcomes: [fail("mismatched"), ok],
    sends: ["s1", "s3"],
    ends: "ok",
  },
  {
    name: "a bad request ends",
    kind: "check",
    outcomes: [fail("bad_request")],
    sends: ["s1"],
    ends: "bad_request",
  },
  {
    name: "three tries at most",
    kind: "check",
    outcomes: [fail("leaving"), fail("leaving"), fail("leaving")],
    sends: ["s1", "s3", "s2"],
    ends: "leaving",
  },
  {
    name: "no budget, no retry",
    kind: "check",
    outcomes: [fail("leaving")],
    sends: ["s1"],
    ends: "leaving",
    budget: 0,
  },
  {
    name: "a refusal after a lost answer does not deny the first try",
    kind: "check",
    outcomes: [fail("outcome_unknown"), fail("overloaded"), fail("overloaded")],
    sends: ["s1", "s3", "s2"],
    ends: "outcome_unknown",
  },
  {
    name: "a refusal after a failure does not deny it either",
    kind: "check",
    outcomes: [fail("runner_failed"), fail("leaving"), fail("leaving")],
    sends: ["s1", "s3", "s2"],
    ends: "outcome_unknown",
  },
  {
    name: "an order's home that cannot be reached may have run it before",
    kind: "order",
    outcomes: [
      fail("runner_unreachable"),
      fail("runner_unreachable"),
      fail("runner_unreachable"),
    ],
    sends: ["s1", "s1", "s1"],
    ends: "outcome_unknown",
  },
  {
    name: "an order that its home refuses was not run",
    kind: "order",
    outcomes: [fail("overloaded"), fail("overloaded"), fail("overloaded")],
    sends: ["s1", "s1", "s1"],
    ends: "overloaded",
  },
  {
    name: "an order goes to its home",
    kind: "order",
    outcomes: [ok],
    sends: ["s1"],
    ends: "ok",
  },
  {
    name: "an order repeats at its home only",
    kind: "order",
    outcomes: [fail("outcome_unknown"), ok],
    sends: ["s1", "s1"],
    ends: "ok",
  },
  {
    name: "a failed order does not repeat",
    kind: "order",
    outcomes: [fail("runner_failed")],
    sends: ["s1"],
    ends: "runner_failed",
  },
  {
    name: "an order whose home restarted is not run",
    kind: "order",
    outcomes: [],
    sends: [],
    ends: "outcome_unknown",
    home: "s1-0",
  },
];

describe("a call's attempts", () => {
  for (const { name, kind, outcomes, sends, ends, home, budget } of cases) {
    it(name, () => {
      const members = new Members("e1" as PeerId);
      for (const id of ["s1", "s2", "s3"]) members.hear(sidecar(id), 0, 0);
      members.hear(sidecar("s4", "leaving"), 0, 0);
      const router = new Router(members, new RoundRobin());
      const retries = new RetryBudget(0.1);
      if (budget === 0) { while (retries.withdraw()) continue; }
      const plan = callPlan(
        request(kind, home),
        router,
        retries,
        () => 0,
        () => {},
      );
      const sent: string[] = [];
      const left = [...outcomes];
      let step = plan.next();
      while (!step.done) {
        sent.push(step.value.peer.id);
        step = plan.next(left.shift() as CallOutcome);
      }
      expect(sent).to.eql(sends);
      expect(step.value.ok ? "ok" : step.value.error.kind).to.equal(ends);
      expect(left).to.eql([]);
    });
  }

  it("adds at most its ratio to the load", () => {
    const budget = new RetryBudget(0.1);
    let retries = 0;
    for (let n = 0; n < 10_000; n++) {
      budget.deposit();
      if (budget.withdraw()) retries += 1;
    }
    expect(retries).to.be.at.most(1_003);
  });
});

describe("members", () => {
  const cases: [
    string,
    [Partial<PeerInfo>, number, number][],
    string | undefined,
  ][] = [
    ["a fresh announcement", [[{}, 0, 0]], "ready"],
    ["an old one is not news", [[{}, 0, 1_000], [
      { state: "leaving" },
      2_000,
      1_500,
    ]], "ready"],
    ["an earlier life has no say", [[
      { startedAtMs: 5, incarnation: "x" },
      0,
      0,
    ], [{ state: "leaving" }, 0, 10]], "ready"],
    ["a later life replaces it", [[{}, 0, 0], [
      { startedAtMs: 9, incarnation: "y", state: "leaving" },
      0,
      10,
    ]], "leaving"],
    ["what was heard long ago is dropped", [[{}, 5_000, 0]], undefined],
  ];
  for (const [name, heard, state] of cases) {
    it(name, () => {
      const members = new Members("e1" as PeerId);
      for (const [change, ageMs, nowMs] of heard) {
        members.hear({ ...sidecar("s1"), ...change }, ageMs, nowMs);
      }
      expect(members.find("s1" as PeerId)?.state).to.equal(state);
    });
  }

  it("expires the silent and raises its version", () => {
    const members = new Members("e1" as PeerId);
    members.hear(sidecar("s1"), 0, 0);
    const { version } = members;
    members.expire(4_000);
    expect(members.version).to.equal(version);
    members.expire(4_001);
    expect(members.version).to.equal(version + 1);
    expect(members.find("s1" as PeerId)).to.equal(undefined);
  });
});
