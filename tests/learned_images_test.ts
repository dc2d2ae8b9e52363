import { expect } from "chai";
import * as v from "valibot";
import { jsonBytes } from "../src/core/check/json_bytes.ts";
import { RunTimeEstimator } from "../src/core/estimate/run_time_estimator.ts";
import { ImagePressures } from "../src/core/interfere/image_pressures.ts";
import { LearnedRow } from "../src/schema/rows/learned_row.ts";
import { PressureModel } from "../src/core/interfere/pressure_model.ts";

describe("what a keeper learns of many images", () => {
  const serviceCount = 300;
  const fillerCount = 300;
  const maxBytes = 196_608;

  function learnAll(model: PressureModel): void {
    for (let filler = 0; filler < fillerCount; filler += 3) {
      const use = new Map(
        [0, 1, 2].map((offset) => [`fills-${filler + offset}`, 0.1] as const),
      );
      for (let service = 0; service < serviceCount; service++) {
        model.learn(`serves-${service}`, `job-${service}`, 1.2, use);
      }
    }
  }

  // Guards against a row that outgrows the store's limit for a record.
  it("fits in a record, and keeps what was used last", () => {
    const model = new PressureModel();
    learnAll(model);
    const row = model.encode(maxBytes);
    expect(jsonBytes(row)).to.be.below(maxBytes);
    expect(v.is(LearnedRow, row)).to.equal(true);
    const restored = new PressureModel();
    restored.restore(row);
    for (const filler of [fillerCount - 1, fillerCount - 100]) {
      const pair = [`serves-${serviceCount - 1}`, `fills-${filler}`] as const;
      expect(restored.pressureOf(...pair)).to.be.closeTo(
        model.pressureOf(...pair),
        0.001,
      );
    }
  });

  // Guards against a heap that grows with services times images squared.
  it("takes little memory, also where it is restored", () => {
    const model = new PressureModel();
    learnAll(model);
    const row = model.encode();
    const before = process.memoryUsage().heapUsed;
    const restored = [new PressureModel(), new PressureModel()];
    for (const each of restored) each.restore(row);
    const grownMb = (process.memoryUsage().heapUsed - before) / 1_048_576;
    expect(restored.map(({ fillerImages }) => fillerImages.size)).to.eql([
      256,
      256,
    ]);
    expect(grownMb).to.be.below(60);
  });

  it("still tells the image that disturbs from those beside it", () => {
    const pressures = new ImagePressures();
    for (let round = 0; round < 40; round++) {
      for (let image = 0; image < 60; image++) {
        const use = new Map([["bad", 0.2], [`good-${image}`, 0.2]]);
        const error = 0.6 - pressures.addedLoad(use);
        pressures.update(use, error, pressures.loadVariance(use) + 0.01);
        const alone = new Map([[`good-${image}`, 0.2]]);
        const none = 0 - pressures.addedLoad(alone);
        pressures.update(alone, none, pressures.loadVariance(alone) + 0.01);
      }
    }
    expect(pressures.pressureOf("bad")).to.be.closeTo(3, 0.3);
    expect(pressures.pressureOf("good-7")).to.be.below(0.3);
  });

  it("fits in a record with names of any length", () => {
    const model = new PressureModel();
    model.learn("s", "j", 1.2, new Map([["f", 0.1]]));
    model.learn("é".repeat(20_000), "j", 1.2, new Map([["f", 0.1]]));
    model.learn("s", "j", 1.2, new Map([["f".repeat(20_000), 0.1]]));
    const row = model.encode(10_000);
    expect(jsonBytes(row)).to.be.below(10_000);
    expect(row.services.map(([image]) => image)).to.eql(["s"]);
  });

  it("of run times fits in a record", () => {
    const estimator = new RunTimeEstimator();
    const row = estimator.encode(100);
    expect(row).to.eql({ kinds: [] });
  });
});
