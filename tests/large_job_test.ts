import { expect } from "chai";
import { UnsavedRows } from "../src/cellhost/unsaved_rows.ts";
import { jsonBytes } from "../src/core/check/json_bytes.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;

describe("the progress of a large job", () => {
  const maxRowBytes = 20_000;
  const recordBytes = maxRowBytes / 0.75;
  const capacity = {
    cpuMilli: 1_000_000,
    memoryBytes: 1e12,
    accelerators: 0,
  };
  const tinyTask = { cpuMilli: 1, memoryBytes: 1, accelerators: 0 };

  function largeFixture(): CellFixture {
    const fixture = new CellFixture({ maxAttempts: 3 }, { maxRowBytes });
    for (const node of ["w", "v"]) fixture.reportWorker(node, { capacity });
    return fixture;
  }

  function rowBytesOf(fixture: CellFixture, id: string): number {
    return jsonBytes(encodeJob(fixture.cell.jobs.get(id as JobId)!));
  }

  // Guards against rows that the store rejects, so that nothing else starts.
  it("stays within its limit, and all of it is done in the end", () => {
    const fixture = largeFixture();
    const steps = [1, 2, 3].map(() =>
      step({ count: 900, resources: tinyTask, savesProgress: true })
    );
    fixture.submit("large", steps);
    fixture.advance();
    fixture.submit("small", [step({ resources: tinyTask })]);
    fixture.advance(50);
    expect(fixture.newStarts().join()).to.include("small.0.0.0#1");
    for (let round = 0; round < 200; round++) {
      for (const task of ["w", "v"].flatMap((node) => fixture.runsOn(node))) {
        fixture.cell.recordCheckpoint(task, "0123456789abcdef");
      }
      expect(rowBytesOf(fixture, "large")).to.be.below(recordBytes);
      for (const node of ["w", "v"]) {
        const { lastEnd } = fixture.cell.worker(node as NodeId);
        const ends = fixture.runsOn(node).map(({ name, run }, index) => ({
          number: lastEnd + index + 1,
          task: name,
          run,
          outcome: "done" as const,
          checkpoint: "",
        }));
        fixture.reportWorker(node, { capacity, ends });
      }
      fixture.advance(50);
      if (fixture.jobState("large") === "completed") break;
    }
    expect(fixture.jobState("large")).to.equal("completed");
    expect(fixture.jobState("small")).to.equal("completed");
  });

  it("is stored without checkpoints if they would not fit", () => {
    const fixture = largeFixture();
    fixture.submit("large", [step({ count: 100, resources: tinyTask })]);
    fixture.advance();
    for (const task of fixture.runsOn("w")) {
      fixture.cell.recordCheckpoint(task, "c".repeat(500));
    }
    const unsaved = new UnsavedRows();
    const job = fixture.cell.jobs.get("large" as JobId)!;
    unsaved.add({ kind: "save", job });
    const [row] = unsaved.take({ recordBytes, callBytes: recordBytes });
    expect(row!.value!.length).to.be.below(recordBytes);
    expect(JSON.parse(row!.value!).o[0][1][0]).to.have.length(100);
  });

  // Guards against a schedule that opens all its occurrences at once.
  it("opens occurrences only as far as its tasks fit in memory", () => {
    const fixture = largeFixture();
    fixture.submit("timed", [step({ count: 1_000, resources: tinyTask })], {
      schedule: { firstMs: 0, intervalMs: 1, count: 1_000_000 },
    });
    const job = fixture.cell.jobs.get("timed" as JobId)!;
    expect(job.openOccurrences.size).to.be.within(1, 100);
  });
});
