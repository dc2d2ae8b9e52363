import { expect } from "chai";
import type { Appended } from "../src/core/store/appended.ts";
import type { Row } from "../src/core/store/row.ts";
import type { StoreResult } from "../src/core/store/store_result.ts";
import type { WriteGuard } from "../src/core/store/write_guard.ts";
import { SubmissionWriter } from "../src/nodes/submission_writer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const appendMs = 400;

/** Does appends one after the other, each in its time. */
class SlowStore extends StoreModel {
  #last: Promise<void> = Promise.resolve();

  constructor(readonly clock: VirtualClock) {
    super();
  }

  override async append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
  ): Promise<StoreResult<Appended>> {
    this.#last = this.#last.then(() => this.clock.sleep(appendMs));
    await this.#last;
    return await super.append(stream, rows, guard);
  }
}

function built() {
  const clock = new VirtualClock();
  const store = new SlowStore(clock);
  const writer = new SubmissionWriter(store, "jobs", clock);
  const told: string[] = [];
  const hand = (key: string) => {
    void writer.append({ key, value: key }).then((result) =>
      told.push(`${key} ${result.isOk ? "stored" : result.error.kind}`)
    );
  };
  return { clock, store, writer, told, hand };
}

describe("a writer of submissions", () => {
  it("stores in one append what came while a slow store was at work", async () => {
    const { clock, store, told, hand } = built();
    for (const key of ["a", "b", "c", "d"]) hand(key);
    await clock.advance(2 * appendMs);
    expect(told).to.eql(["a stored", "b stored", "c stored", "d stored"]);
    expect(store.appends).to.equal(2);
  });

  const faults = [
    { fault: "refused", first: "refused" },
    { fault: "lost", first: "unknown" },
    { fault: "hung", first: "unknown" },
  ] as const;
  for (const { fault, first } of faults) {
    it(`refuses what waited behind an append that was ${fault}`, async () => {
      const { clock, store, told, hand } = built();
      store.faults.push(fault);
      hand("a");
      hand("b");
      await clock.advance(appendMs);
      expect(told).to.eql([`a ${first}`, "b refused"]);
      expect(store.value("jobs", "b")).to.equal(undefined);
    });
  }

  it("refuses at once while its stream is away, and tries again by itself", async () => {
    const { clock, store, told, hand } = built();
    store.isDown = true;
    hand("a");
    await clock.advance(appendMs);
    hand("b");
    await clock.advance(0);
    expect(told).to.eql(["a refused", "b refused"]);
    store.isDown = false;
    await clock.advance(250);
    hand("c");
    hand("d");
    await clock.advance(appendMs);
    expect(told.slice(2)).to.eql(["d refused", "c stored"]);
    hand("e");
    await clock.advance(appendMs);
    expect(told.at(-1)).to.equal("e stored");
  });

  it("calls no row refused that it may have stored before", async () => {
    const { clock, store, told, hand } = built();
    store.faults.push("lost");
    hand("a");
    await clock.advance(appendMs);
    hand("a");
    store.isDown = true;
    await clock.advance(250);
    hand("a");
    await clock.advance(appendMs);
    store.isDown = false;
    await clock.advance(250);
    hand("a");
    await clock.advance(appendMs);
    expect(told).to.eql(["a unknown", "a unknown", "a unknown", "a stored"]);
  });
});
