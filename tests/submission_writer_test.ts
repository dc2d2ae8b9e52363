import { expect } from "chai";
import type { AppendResult } from "../src/core/store/append_result.ts";
import type { Row } from "../src/core/store/row.ts";
import type { StoreResult } from "../src/core/store/store_result.ts";
import type { WriteGuard } from "../src/core/store/write_guard.ts";
import { SubmissionWriter } from "../src/nodes/submission_writer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const appendMs = 400;

/** A store that applies one append at a time, each taking `appendMs`. */
class SlowStore extends StoreModel {
  #lastAppend: Promise<void> = Promise.resolve();

  constructor(readonly clock: VirtualClock) {
    super();
  }

  override async append(
    stream: string,
    rows: readonly Row[],
    guard: WriteGuard,
  ): Promise<StoreResult<AppendResult>> {
    this.#lastAppend = this.#lastAppend.then(() => this.clock.sleep(appendMs));
    await this.#lastAppend;
    return await super.append(stream, rows, guard);
  }
}

function createFixture() {
  const clock = new VirtualClock();
  const store = new SlowStore(clock);
  const writer = new SubmissionWriter(store, "jobs", clock);
  const results: string[] = [];
  const submit = (key: string) => {
    void writer.append({ key, value: key }).then((result) =>
      results.push(`${key} ${result.isOk ? "stored" : result.error.kind}`)
    );
  };
  return { clock, store, writer, results, submit };
}

describe("a submission writer", () => {
  it("batches the rows that arrive during a slow append", async () => {
    const { clock, store, results, submit } = createFixture();
    for (const key of ["a", "b", "c", "d"]) submit(key);
    await clock.advance(2 * appendMs);
    expect(results).to.eql(["a stored", "b stored", "c stored", "d stored"]);
    expect(store.appendCount).to.equal(2);
  });

  const faults = [
    { fault: "refused", first: "refused" },
    { fault: "lost", first: "unknown" },
    { fault: "hung", first: "unknown" },
  ] as const;
  for (const { fault, first } of faults) {
    it(`refuses rows queued behind an append that was ${fault}`, async () => {
      const { clock, store, results, submit } = createFixture();
      store.faults.push(fault);
      submit("a");
      submit("b");
      await clock.advance(appendMs);
      expect(results).to.eql([`a ${first}`, "b refused"]);
      expect(store.newestValue("jobs", "b")).to.equal(undefined);
    });
  }

  it("refuses at once after a failure, and retries after a pause", async () => {
    const { clock, store, results, submit } = createFixture();
    store.isDown = true;
    submit("a");
    await clock.advance(appendMs);
    submit("b");
    await clock.advance(0);
    expect(results).to.eql(["a refused", "b refused"]);
    store.isDown = false;
    await clock.advance(250);
    submit("c");
    submit("d");
    await clock.advance(appendMs);
    expect(results.slice(2)).to.eql(["d refused", "c stored"]);
    submit("e");
    await clock.advance(appendMs);
    expect(results.at(-1)).to.equal("e stored");
  });

  it("reports no row as refused that it may have stored before", async () => {
    const { clock, store, results, submit } = createFixture();
    store.faults.push("lost");
    submit("a");
    await clock.advance(appendMs);
    submit("a");
    store.isDown = true;
    await clock.advance(250);
    submit("a");
    await clock.advance(appendMs);
    store.isDown = false;
    await clock.advance(250);
    submit("a");
    await clock.advance(appendMs);
    expect(results).to.eql(["a unknown", "a unknown", "a unknown", "a stored"]);
  });
});
