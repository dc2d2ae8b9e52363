import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { FirstAttempts } from "../src/core/outage/first_attempts.ts";
import { HoldPolicy } from "../src/core/outage/hold_policy.ts";
import { sendStoreFailure } from "../src/http/send_store_failure.ts";

const full = { scope: "full", ageMs: 2_400 } as const;

describe("the decision to hold a submission", () => {
  // Guards against holds that will not be served, and holds that cost a caller
  // its last retry when the forecast is wrong.
  const cases = [
    { name: "back in time", mostMs: 600, expected: "hold" },
    { name: "back in time at best", mostMs: 900, expected: "store_outage" },
    { name: "no retry to lose", mostMs: 900, leftMs: 1_000, expected: "hold" },
    { name: "time to spare", mostMs: 900, leftMs: 3_800, expected: "hold" },
    { name: "too late", remainingMs: 800, expected: "store_outage" },
    {
      name: "too late, perhaps stored",
      remainingMs: 800,
      mayBeStored: true,
      expected: "hold",
    },
    { name: "too many", waiting: 1_000, expected: "hold_full" },
    { name: "too much", waitingBytes: 4_000_000, expected: "hold_full" },
    {
      name: "only here",
      scope: "partial" as const,
      expected: "partial_outage",
    },
    { name: "no outage", scope: "none" as const, expected: "append" },
    {
      name: "no outage, appends fail",
      scope: "none" as const,
      isTurnedAway: true,
      expected: "store_refusal",
    },
  ];
  for (const { name, expected, ...view } of cases) {
    it(`is ${expected}: ${name}`, () => {
      const { remainingMs = 500, scope = full.scope } = view;
      const { mostMs = remainingMs + 100 } = view;
      const choice = new HoldPolicy().choose({
        isTurnedAway: false,
        holdMs: 700,
        leftMs: 3_017,
        mayBeStored: false,
        bytes: 100,
        waiting: 1,
        waitingBytes: 100,
        ...view,
        outage: { ...full, scope, remainingMs, mostRemainingMs: mostMs },
      });
      expect(choice.kind === "refuse" ? choice.reason : choice.kind)
        .to.equal(expected);
    });
  }
});

describe("the memory of first attempts", () => {
  it("keeps the first time for 60 s, of the newest 10,000 keys", () => {
    const attempts = new FirstAttempts();
    expect(attempts.note("a", 1_000)).to.equal(1_000);
    expect(attempts.note("a", 5_000)).to.equal(1_000);
    expect(attempts.firstAtMs("a", 61_000)).to.equal(1_000);
    expect(attempts.firstAtMs("a", 61_001)).to.equal(61_001);
    attempts.note("b", 5_000);
    for (let index = 0; index < 9_999; index++) {
      attempts.note(`job-${index}`, 6_000);
    }
    expect(attempts.firstAtMs("b", 7_000)).to.equal(5_000);
    attempts.note("last", 6_000);
    expect(attempts.firstAtMs("b", 7_000)).to.equal(7_000);
  });
});

describe("the answer to a submission that was not stored", () => {
  const cases = [
    { reason: "store_outage", retryAfterMs: 2_300, status: 503, after: "3" },
    { reason: "partial_outage", retryAfterMs: 1_000, status: 503, after: "1" },
    { reason: "overload", retryAfterMs: 1_700, status: 429, after: "2" },
    { reason: "overload", retryAfterMs: 9_000, status: 429, after: "4" },
  ] as const;
  for (const { reason, retryAfterMs, status, after } of cases) {
    it(`is ${status} for ${reason} of ${retryAfterMs} ms`, () => {
      const sent: unknown[] = [];
      const response = {
        writeHead: (code: number, headers: Record<string, unknown>) => {
          sent.push(code, headers["retry-after"]);
        },
        end: (body: Buffer) => sent.push(JSON.parse(body.toString())),
      } as unknown as ServerResponse;
      const time = {
        arrivedAtMs: performance.now(),
        deadlineMs: 4_900,
        withinMs: 4_750,
        signal: new AbortController().signal,
      };
      const refusal = { kind: "refused", reason, retryAfterMs } as const;
      sendStoreFailure(response, refusal, time, "not run");
      expect(sent).to.eql([status, after, { error: "not run", retryAfterMs }]);
    });
  }
});
