import { expect } from "chai";
import { callThroughOutage } from "./calls_through_outage.ts";
import { createOutageFixture } from "./outage_fixture.ts";

/** The time until an entry knows that the store is away for all. */
const knownMs = 2_000;
const quietMs = 1_000;

type Fixture = ReturnType<typeof createOutageFixture>;

/** A fixture that has seen outages of the length, so the forecast is sure. */
async function createTrainedFixture(lengthMs: number): Promise<Fixture> {
  const fixture = createOutageFixture();
  for (let round = 0; round < 5; round++) fixture.forecast.record(lengthMs);
  await fixture.clock.advance(quietMs);
  return fixture;
}

describe("callers through an outage of the store", () => {
  // Guards against callers that use up their retries in an outage, refusals
  // that come late, and refused jobs that are stored nevertheless. `lost` and
  // `refused` are upper bounds; callers come every 50 ms and retry 4 times.
  const cases = [
    { lengthMs: 1_000, limitMs: 3_017, lost: 0, refused: 25 },
    { lengthMs: 3_000, limitMs: 3_017, lost: 10, refused: 110 },
    { lengthMs: 5_000, limitMs: 3_017, lost: 45, refused: 235 },
    { lengthMs: 10_000, limitMs: 3_017, lost: 145, refused: 475 },
    { lengthMs: 3_000, limitMs: 10_000, lost: 0, refused: 55 },
    { lengthMs: 5_000, limitMs: 10_000, lost: 0, refused: 110 },
    { lengthMs: 10_000, limitMs: 12_000, lost: 0, refused: 300 },
  ];
  for (const mode of ["refusing", "silent", "losing"] as const) {
    for (const { lengthMs, limitMs, lost, refused } of cases) {
      it(`of ${lengthMs} ms, ${mode}, within ${limitMs} ms`, async () => {
        const { clock, store, storer, begin, end } = createOutageFixture();
        const tally = {
          stored: 0,
          lost: 0,
          refused: 0,
          late: 0,
          unknown: 0,
          alwaysRefused: new Set<string>(),
        };
        let calls = 0;
        const call = async (forMs: number) => {
          for (let atMs = 0; atMs < forMs; atMs += 50) {
            const key = `job-${calls++}`;
            void callThroughOutage(storer, clock, key, tally, limitMs);
            await clock.advance(50);
          }
        };
        await clock.advance(quietMs);
        await call(500);
        begin(mode);
        await call(lengthMs);
        end();
        await call(1_000);
        await clock.advance(30_000);
        const wronglyRefused = [...tally.alwaysRefused].filter((key) =>
          store.newestValue("jobs", key) !== undefined
        );
        expect(wronglyRefused).to.eql([]);
        expect(tally.late).to.equal(0);
        expect(tally.lost).to.be.at.most(lost);
        expect(tally.refused).to.be.at.most(refused);
        expect(tally.stored + tally.lost).to.equal(calls);
      });
    }
  }
});

describe("a storer that holds submissions", () => {
  // Guards against rows stored in the order of the last attempt.
  it("stores held and returning rows by first attempt", async () => {
    const { clock, store, submit, begin, end } = await createTrainedFixture(
      3_000,
    );
    const results: string[] = [];
    begin("refusing");
    await clock.advance(knownMs);
    submit("early", results);
    await clock.advance(500);
    for (const key of ["b", "a"]) {
      submit(key, results);
      await clock.advance(50);
    }
    submit("early", results);
    await clock.advance(400);
    end();
    await clock.advance(200);
    expect(results).to.eql([
      "early store_outage",
      "early stored",
      "b stored",
      "a stored",
    ]);
    expect(store.appends.at(-1)).to.eql(["early", "b", "a"]);
  });

  // Guards against an outage that is longer than forecast: what is refused
  // must not be stored once the store is back.
  for (const mode of ["refusing", "silent"] as const) {
    it(`never stores what it refused, store ${mode}`, async () => {
      const { clock, store, submit, begin, end } = await createTrainedFixture(
        2_500,
      );
      const results: string[] = [];
      begin(mode);
      await clock.advance(2_300);
      submit("a", results);
      await clock.advance(700);
      expect(results).to.eql([]);
      await clock.advance(30);
      expect(results).to.eql(["a hold_expired"]);
      end();
      await clock.advance(5_000);
      expect(store.newestValue("jobs", "a")).to.equal(undefined);
    });
  }

  it("does not store a held row whose caller has disconnected", async () => {
    const { clock, store, submit, begin, end } = await createTrainedFixture(
      2_500,
    );
    const results: string[] = [];
    const caller = new AbortController();
    begin("refusing");
    await clock.advance(2_300);
    submit("gone", results, { signal: caller.signal });
    submit("here", results);
    await clock.advance(100);
    caller.abort();
    await clock.advance(100);
    end();
    await clock.advance(500);
    expect(results).to.eql(["gone withdrawn", "here stored"]);
    expect(store.newestValue("jobs", "gone")).to.equal(undefined);
  });

  it("does not resend a row whose caller left during its append", async () => {
    const { clock, store, submit, begin, end } = createOutageFixture();
    const results: string[] = [];
    const caller = new AbortController();
    await clock.advance(quietMs);
    begin("losing");
    submit("a", results, { signal: caller.signal });
    await clock.advance(100);
    caller.abort();
    await clock.advance(1_000);
    end();
    await clock.advance(5_000);
    expect(results).to.eql(["a unknown"]);
    expect(store.appends.flat().filter((key) => key === "a")).to.eql(["a"]);
  });

  it("reports no row as refused that it may have stored before", async () => {
    const { clock, submit, begin, end } = createOutageFixture();
    const results: string[] = [];
    await clock.advance(quietMs);
    begin("silent");
    submit("a", results, { withinMs: 1_500 });
    await clock.advance(1_500);
    begin("refusing");
    await clock.advance(knownMs);
    submit("a", results, { withinMs: 1_500 });
    await clock.advance(1_500);
    end();
    await clock.advance(500);
    submit("a", results);
    await clock.advance(200);
    expect(results).to.eql(["a unknown", "a unknown", "a stored"]);
  });

  // Guards against one row's fault turning down the rows beside it.
  it("keeps the failure of an oversized row to itself", async () => {
    const { clock, submit } = createOutageFixture();
    const results: string[] = [];
    await clock.advance(quietMs);
    submit("a", results);
    submit("big", results, { value: "x".repeat(2_500_000) });
    for (const key of ["b", "c"]) submit(key, results);
    await clock.advance(50);
    expect(results.sort()).to.eql([
      "a stored",
      "b stored",
      "big store_refusal",
      "c stored",
    ]);
  });

  it("tries the rows of a rejected append one by one", async () => {
    const { clock, store, submit } = createOutageFixture();
    const results: string[] = [];
    await clock.advance(quietMs);
    store.rejectedKeys.add("bad");
    for (const key of ["first", "a", "bad", "b"]) submit(key, results);
    await clock.advance(100);
    expect(results.sort()).to.eql([
      "a stored",
      "b stored",
      "bad store_refusal",
      "first stored",
    ]);
  });

  // Before, the rows behind an append without answer were refused with it.
  it("keeps rows waiting behind an append without an answer", async () => {
    const { clock, store, submit } = createOutageFixture();
    const results: string[] = [];
    await clock.advance(quietMs);
    store.nextAppendLostAfterMs = 300;
    submit("a", results);
    await clock.advance(50);
    for (const key of ["b", "c"]) submit(key, results);
    await clock.advance(500);
    expect(results).to.eql(["a stored", "b stored", "c stored"]);
  });

  it("refuses at once while only this entry is turned away", async () => {
    const { clock, storer, metrics, begin, monitor } = createOutageFixture();
    await clock.advance(quietMs);
    begin("refusing", true);
    await clock.advance(knownMs);
    expect(monitor.state.scope).to.equal("partial");
    const arrivedAtMs = clock.nowMs();
    const outcome = await storer.store({ key: "a", value: "a" }, {
      arrivedAtMs,
      deadlineMs: 3_000,
      withinMs: 2_850,
      signal: new AbortController().signal,
    });
    expect(outcome).to.eql({
      kind: "refused",
      reason: "partial_outage",
      retryAfterMs: 1_000,
    });
    expect(clock.nowMs()).to.equal(arrivedAtMs);
    expect(await metrics.text()).to.contain(
      'gypsumpond_refusals_total{reason="partial_outage"} 1',
    );
  });

  it("bounds what it holds, in number and bytes", async () => {
    for (
      const { value, held } of [
        { value: "x", held: 1_000 },
        { value: "x".repeat(900_000), held: 4 },
      ]
    ) {
      const { clock, submit, begin, end } = await createTrainedFixture(2_500);
      const results: string[] = [];
      begin("refusing");
      await clock.advance(2_300);
      for (let index = 0; index < held + 2; index++) {
        submit(`job-${index}`, results, { value });
      }
      await clock.advance(1);
      expect(results).to.have.lengthOf(2);
      expect(results[0]).to.equal(`job-${held} hold_full`);
      end();
      await clock.advance(400);
      expect(results.filter((result) => result.endsWith("stored")))
        .to.have.lengthOf(held);
    }
  });

  it("lets a row through to probe a store that refuses appends", async () => {
    const { clock, store, submit } = createOutageFixture();
    const results: string[] = [];
    await clock.advance(quietMs);
    store.refusesAppends = true;
    submit("a", results);
    await clock.advance(400);
    submit("b", results);
    await clock.advance(5);
    expect(results).to.eql(["a store_refusal", "b store_refusal"]);
    store.refusesAppends = false;
    await clock.advance(300);
    submit("c", results);
    await clock.advance(5);
    submit("d", results);
    await clock.advance(5);
    expect(results.slice(2)).to.eql(["c stored", "d stored"]);
  });
});

describe("an outage monitor", () => {
  // The calls that a silent outage left without answer time out after it.
  it("takes calls that time out after an outage for no second one", async () => {
    const { clock, health, begin, end } = createOutageFixture();
    await clock.advance(quietMs);
    for (let lengthMs = 3_000; lengthMs < 4_000; lengthMs += 90) {
      begin("silent");
      await clock.advance(lengthMs);
      end();
      await clock.advance(200);
      for (let waitedMs = 0; waitedMs < 1_000; waitedMs += 10) {
        await clock.advance(10);
        expect(health.isUnreachable(clock.nowMs())).to.equal(false);
      }
    }
  });

  // A partial outage ends for its own reasons and says nothing of full ones.
  for (const isPartial of [false, true]) {
    it(`learns of an outage, ${isPartial ? "partial" : "full"}`, async () => {
      const { clock, forecast, begin, end } = createOutageFixture();
      await clock.advance(quietMs);
      for (let round = 0; round < 4; round++) {
        begin("refusing", isPartial);
        await clock.advance(6_000);
        end();
        await clock.advance(quietMs);
      }
      expect(forecast.remainingMs(0)).to.be.closeTo(
        isPartial ? 3_000 : 6_000,
        isPartial ? 1 : 350,
      );
    });
  }
});
