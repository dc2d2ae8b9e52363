import { expect } from "chai";
import fc from "fast-check";
import { Admission } from "../src/core/admit/admission.ts";
import type { AdmissionEffect } from "../src/core/admit/admission_effect.ts";
import { OrderBook } from "../src/core/admit/order_book.ts";
import { OrderKey } from "../src/core/admit/order_key.ts";
import { GpError } from "../src/core/errors/gp_error.ts";
import type { MemberId } from "../src/schema/member_id.ts";

const request = (id: string, member = "a", deadlineAtMs = 10_000) => ({
  id,
  member: member as MemberId,
  deadlineAtMs,
});

/** Runs the generator to its end and returns its effects as text. */
const collect = (effects: Iterable<AdmissionEffect>): string[] =>
  [...effects].map((effect) =>
    effect.kind === "run" ? `run ${effect.id}` : `${effect.error} ${effect.id}`
  );

describe("admission", () => {
  it("runs one request per slot and queues the rest by deadline", () => {
    const admission = new Admission(2, 8);
    expect(collect(admission.offer(request("1"), 0))).to.eql(["run 1"]);
    expect(collect(admission.offer(request("2"), 0))).to.eql(["run 2"]);
    expect(collect(admission.offer(request("3", "a", 9_000), 0))).to.eql([]);
    expect(collect(admission.offer(request("4", "a", 8_000), 0))).to.eql([]);
    expect(collect(admission.release("1", true, 5))).to.eql(["run 4"]);
    expect(collect(admission.release("2", true, 6))).to.eql(["run 3"]);
    expect(admission.isIdle).to.equal(false);
  });

  it("refuses requests that would miss their deadline, new or queued", () => {
    const admission = new Admission(1, 8);
    collect(admission.offer(request("1"), 0));
    collect(admission.release("1", true, 100));
    collect(admission.offer(request("2"), 100));
    expect(collect(admission.offer(request("3", "a", 150), 100))).to.eql([
      "deadline_too_short 3",
    ]);
    expect(collect(admission.offer(request("4", "a", 400), 100))).to.eql([]);
    expect(collect(admission.expireQueued(350))).to.eql([
      "deadline_too_short 4",
    ]);
  });

  it("drops requests of the member that fills the queue, not of others", () => {
    const admission = new Admission(1, 3);
    for (const id of ["1", "2", "3", "4"]) {
      collect(admission.offer(request(id, "flood"), 0));
    }
    expect(admission.queued).to.equal(3);
    expect(collect(admission.offer(request("5", "flood"), 0))).to.eql([
      "overloaded 5",
    ]);
    expect(collect(admission.offer(request("6", "other"), 0))).to.eql([
      "overloaded 4",
    ]);
    expect(collect(admission.release("1", true, 1))).to.have.length(1);
  });

  it("refuses new requests once closed and finishes the accepted ones", () => {
    const admission = new Admission(1, 3);
    collect(admission.offer(request("1"), 0));
    collect(admission.offer(request("2"), 0));
    admission.isClosed = true;
    expect(collect(admission.offer(request("3"), 0))).to.eql([
      "leaving 3",
    ]);
    expect(collect(admission.release("1", true, 1))).to.eql(["run 2"]);
    collect(admission.release("2", true, 2));
    expect(admission.isIdle).to.equal(true);
  });

  it("never exceeds its slots, loses a request or answers it twice", () => {
    const step = fc.record({
      finishesOne: fc.boolean(),
      member: fc.constantFrom("a", "b", "c"),
      waitMs: fc.nat(30),
      timeoutMs: fc.integer({ min: 1, max: 200 }),
    });
    const property = fc.property(
      fc.array(step, { maxLength: 120 }),
      (steps) => {
        const admission = new Admission(3, 5);
        const effectCounts = new Map<string, number>();
        const running = new Set<string>();
        const record = (effects: Iterable<AdmissionEffect>): void => {
          for (const effect of effects) {
            effectCounts.set(effect.id, (effectCounts.get(effect.id) ?? 0) + 1);
            if (effect.kind === "run") running.add(effect.id);
          }
        };
        let nowMs = 0;
        let offered = 0;
        for (const { finishesOne, member, waitMs, timeoutMs } of steps) {
          nowMs += waitMs;
          const [first] = running;
          if (finishesOne && first !== undefined) {
            running.delete(first);
            record(admission.release(first, true, nowMs));
          } else {
            record(
              admission.offer(
                request(`r${offered++}`, member, nowMs + timeoutMs),
                nowMs,
              ),
            );
          }
          expect(admission.inFlight).to.equal(running.size);
          expect(running.size).to.be.at.most(3);
          expect(admission.queued).to.be.at.most(5);
          expect(effectCounts.size + admission.queued).to.equal(offered);
          expect(Math.max(0, ...effectCounts.values())).to.be.at.most(1);
        }
      },
    );
    fc.assert(property, { seed: 2, numRuns: 300 });
  });
});

describe("the order book", () => {
  const ok = { ok: true, body: new Uint8Array(), tookMs: 1 } as const;
  const failed = (kind: GpError["kind"]) =>
    ({ ok: false, error: new GpError(kind), tookMs: 1 }) as const;
  const cases = [
    { name: "an answer is kept", outcome: ok, isKept: true },
    {
      name: "an unknown outcome is kept",
      outcome: failed("outcome_unknown"),
      isKept: true,
    },
    {
      name: "a failure at the runner is kept",
      outcome: failed("runner_failed"),
      isKept: true,
    },
    {
      name: "a refusal frees the key",
      outcome: failed("overloaded"),
      isKept: false,
    },
    {
      name: "a refused connection frees the key",
      outcome: failed("runner_unreachable"),
      isKept: false,
    },
  ];
  for (const { name, outcome, isKept } of cases) {
    it(name, () => {
      const book = new OrderBook();
      book.register("k", 1, 0);
      const received: unknown[] = [];
      book.find("k")?.waiting.push((outcome) => received.push(outcome));
      book.complete("k", outcome);
      expect(received).to.eql([outcome]);
      expect(book.find("k")?.outcome).to.equal(isKept ? outcome : undefined);
      expect(book.find("k") !== undefined).to.equal(isKept);
    });
  }

  it("may have forgotten a key older than 10 minutes", () => {
    const book = new OrderBook();
    expect(book.mayHaveForgotten(0, 600_001)).to.equal(true);
    expect(book.mayHaveForgotten(0, 600_000)).to.equal(false);
  });

  const keys: [string, boolean][] = [
    ["p1~i~5~n", true],
    ["", false],
    ["p1~i~5", false],
    ["p1~i~five~n", false],
    ["~i~5~n", false],
    ["p1~i~5~n~x", false],
  ];
  for (const [text, isValid] of keys) {
    it(`parses the key '${text}': ${isValid}`, () => {
      const key = OrderKey.parse(text);
      expect(key !== undefined).to.equal(isValid);
      if (key) expect(key.toString()).to.equal(text);
    });
  }
});
