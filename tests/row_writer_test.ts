import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});

function createWriter(
  store: StoreModel,
  clock: VirtualClock,
  epoch: number,
  onDeposed = () => {},
): RowWriter {
  const keeperRow = () => ({ key: "keeper", value: String(epoch) });
  return new RowWriter(store, "cell", epoch, keeperRow, onDeposed, clock, log);
}

describe("a row writer", () => {
  const cases = [
    { name: "nothing fails", faults: [] },
    { name: "an answer is lost", faults: ["lost"] },
    { name: "an append is applied late", faults: ["late"] },
    { name: "the store refuses it twice", faults: ["refused", "refused"] },
    { name: "a call hangs", faults: ["hung", "lost", "refused"] },
  ] as const;
  for (const { name, faults } of cases) {
    it(`stores each row once, in order, if ${name}`, async () => {
      const store = new StoreModel();
      const clock = new VirtualClock();
      const writer = createWriter(store, clock, 1);
      await writer.takeOver();
      store.faults.push(...faults);
      const stored: string[] = [];
      writer.write([{ key: "a", value: "1" }], () => stored.push("a1"));
      writer.write([{ key: "a", value: "2" }], () => stored.push("a2"));
      await clock.advance(300);
      store.applyDelayed();
      writer.write([{ key: "a", value: "3" }], () => stored.push("a3"));
      await clock.advance(300);
      store.applyDelayed();
      expect(stored).to.eql(["a1", "a2", "a3"]);
      expect(store.newestValue("cell", "a")).to.equal("3");
      writer.close();
    });
  }

  it("calls back only once its rows are stored", async () => {
    const store = new StoreModel();
    const clock = new VirtualClock();
    const writer = createWriter(store, clock, 1);
    await writer.takeOver();
    store.isDown = true;
    let isStored = false;
    writer.write([{ key: "a", value: "1" }], () => isStored = true);
    await clock.advance(5_000);
    expect(isStored).to.equal(false);
    store.isDown = false;
    await clock.advance(100);
    expect(isStored).to.equal(true);
    writer.close();
  });

  it("is deposed once a writer with a higher epoch appends", async () => {
    const store = new StoreModel();
    const clock = new VirtualClock();
    let depositions = 0;
    const old = createWriter(store, clock, 1, () => depositions += 1);
    await old.takeOver();
    const next = createWriter(store, clock, 2);
    await next.takeOver();
    let isStored = false;
    old.write([{ key: "a", value: "old" }], () => isStored = true);
    await clock.advance(500);
    expect([depositions, isStored]).to.eql([1, false]);
    expect(store.newestValue("cell", "a")).to.equal(undefined);
    next.close();
  });

  it("has no delayed append applied once it was deposed", async () => {
    const store = new StoreModel();
    const clock = new VirtualClock();
    const old = createWriter(store, clock, 1);
    await old.takeOver();
    store.faults.push("late", "refused", "refused", "refused");
    old.write([{ key: "a", value: "old" }], () => {});
    await clock.advance(10);
    old.close();
    const next = createWriter(store, clock, 2);
    store.faults.length = 0;
    await next.takeOver();
    store.applyDelayed();
    expect(store.newestValue("cell", "a")).to.equal(undefined);
    next.close();
  });
});
