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

const short = (effects: Iterable<AdmissionEffect>): string[] =>
  [...effects].map((e) =>
    e.kind === "run" ? `run ${e.id}` : `${e.error} ${e.id}`
  );

describe("admission", () => {
  it("runs up to its slots and queues by deadline", () => {
    const gate = new Admission(2, 8);
    expect(short(gate.offer(request("1"), 0))).to.eql(["run 1"]);
    expect(short(gate.offer(request("2"), 0))).to.eql(["run 2"]);
    expect(short(gate.offer(request("3", "a", 9_000), 0))).to.eql([]);
    expect(short(gate.offer(request("4", "a", 8_000), 0))).to.eql([]);
    expect(short(gate.finished("1", true, 5))).to.eql(["run 4"]);
    expect(short(gate.finished("2", true, 6))).to.eql(["run 3"]);
    expect(gate.isIdle).to.equal(false);
  });

  it("refuses at once what cannot be in time, and what waits too long", () => {
    const gate = new Admission(1, 8);
    short(gate.offer(request("1"), 0));
    short(gate.finished("1", true, 100));
    short(gate.offer(request("2"), 100));
    expect(short(gate.offer(request("3", "a", 150), 100))).to.eql([
      "deadline_too_short 3",
    ]);
    expect(short(gate.offer(request("4", "a", 400), 100))).to.eql([]);
    expect(short(gate.expire(350))).to.eql(["deadline_too_short 4"]);
  });

  it("takes from the member that fills the queue, not from the others", () => {
    const gate = new Admission(1, 3);
    for (const id of ["1", "2", "3", "4"]) {
      short(gate.offer(request(id, "flood"), 0));
    }
    expect(gate.queued).to.equal(3);
    expect(short(gate.offer(request("5", "flood"), 0))).to.eql([
      "overloaded 5",
    ]);
    expect(short(gate.offer(request("6", "other"), 0))).to.eql([
      "overloaded 4",
    ]);
    expect(short(gate.finished("1", true, 1))).to.have.length(1);
  });

  it("takes nothing new once closed but finishes what it has", () => {
    const gate = new Admission(1, 3);
    short(gate.offer(request("1"), 0));
    short(gate.offer(request("2"), 0));
    gate.isClosed = true;
    expect(short(gate.offer(request("3"), 0))).to.eql(["leaving 3"]);
    expect(short(gate.finished("1", true, 1))).to.eql(["run 2"]);
    short(gate.finished("2", true, 2));
    expect(gate.isIdle).to.equal(true);
  });

  it("never exceeds its slots, loses or doubles a request", () => {
    const step = fc.record({
      finish: fc.boolean(),
      member: fc.constantFrom("a", "b", "c"),
      waitMs: fc.nat(30),
      timeoutMs: fc.integer({ min: 1, max: 200 }),
    });
    const property = fc.property(
      fc.array(step, { maxLength: 120 }),
      (steps) => {
        const gate = new Admission(3, 5);
        const ends = new Map<string, number>();
        const running = new Set<string>();
        const take = (effects: Iterable<AdmissionEffect>): void => {
          for (const effect of effects) {
            ends.set(effect.id, (ends.get(effect.id) ?? 0) + 1);
            if (effect.kind === "run") running.add(effect.id);
          }
        };
        let nowMs = 0;
        let offered = 0;
        for (const { finish, member, waitMs, timeoutMs } of steps) {
          nowMs += waitMs;
          const [first] = running;
          if (finish && first !== undefined) {
            running.delete(first);
            take(gate.finished(first, true, nowMs));
          } else {
            take(
              gate.offer(
                request(`r${offered++}`, member, nowMs + timeoutMs),
                nowMs,
              ),
            );
          }
          expect(gate.inFlight).to.equal(running.size);
          expect(running.size).to.be.at.most(3);
          expect(gate.queued).to.be.at.most(5);
          expect(ends.size + gate.queued).to.equal(offered);
          expect(Math.max(0, ...ends.values())).to.be.at.most(1);
        }
      },
    );
    fc.assert(property, { seed: 2, numRuns: 300 });
  });
});

describe("orders", () => {
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
      book.begin("k", 1, 0);
      const heard: unknown[] = [];
      book.find("k")?.waiting.push((end) => heard.push(end));
      book.end("k", outcome);
      expect(heard).to.eql([outcome]);
      expect(book.find("k")?.outcome).to.equal(isKept ? outcome : undefined);
      expect(book.find("k") !== undefined).to.equal(isKept);
    });
  }

  it("does not trust keys older than its memory", () => {
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
  for (const [text, isKey] of keys) {
    it(`reads the key '${text}': ${isKey}`, () => {
      const key = OrderKey.parse(text);
      expect(key !== undefined).to.equal(isKey);
      if (key) expect(key.toString()).to.equal(text);
    });
  }
});
