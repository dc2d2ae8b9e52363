import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { RowWriter } from "../src/cellhost/row_writer.ts";
import type { Row } from "../src/core/store/row.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { StoreModel } from "../stand_ins/store/store_model.ts";

const log = new Logger("silent", {});
const limits = { recordBytes: 2_000, callBytes: 6_000 };

/** A row of about that many bytes. */
function rowOf(key: string, bytes: number): Row {
  return { key, value: "x".repeat(bytes) };
}

// Guards against an append that is repeated for ever, with all rows behind it.
describe("a row that the store rejects for good holds up no other", () => {
  const small = rowOf("small", 10);
  const cases: {
    name: string;
    rows: Row[];
    rejectedKeys?: string[];
    rejected: string[];
  }[] = [
    {
      name: "if it is larger than a record",
      rows: [rowOf("large", 3_000), small],
      rejected: ["large"],
    },
    {
      name: "if it is larger in bytes than in characters",
      rows: [{ key: "large", value: "é".repeat(1_500) }, small],
      rejected: ["large"],
    },
    {
      name: "if the reason is not known",
      rows: [rowOf("odd", 10), small],
      rejectedKeys: ["odd"],
      rejected: ["odd"],
    },
    {
      name: "if all others do not fit in one append",
      rows: [rowOf("odd", 1_900), small, rowOf("a", 1_900), rowOf("b", 1_900)],
      rejectedKeys: ["odd"],
      rejected: ["odd"],
    },
  ];
  for (const { name, rows, rejectedKeys = [], rejected } of cases) {
    it(name, async () => {
      const store = new StoreModel();
      store.limits = limits;
      for (const key of rejectedKeys) store.rejectedKeys.add(key);
      const clock = new VirtualClock();
      const heartbeat = () => ({ key: "keeper", value: "1" });
      const onDeposed = () => {};
      const writer = new RowWriter(
        store,
        "cell",
        1,
        heartbeat,
        onDeposed,
        clock,
        log,
        limits,
      );
      await writer.takeOver();
      const outcomes: string[][] = [];
      writer.write(rows, (keys) => outcomes.push([...keys]));
      await clock.advance(100);
      writer.write([rowOf("next", 10)], (keys) => outcomes.push([...keys]));
      await clock.advance(100);
      expect(outcomes).to.eql([rejected, []]);
      for (const { key, value } of rows) {
        const stored = store.newestValue("cell", key);
        expect(stored).to.equal(rejected.includes(key) ? undefined : value);
      }
      writer.close();
    });
  }
});
