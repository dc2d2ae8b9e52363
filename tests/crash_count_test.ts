import { expect } from "chai";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../src/core/cell/job_progress_row.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import { CellFixture } from "./cell_fixture.ts";

/** As many crashes in a row give up a job. */
const keeperCount = 3;

/** What the next keeper reads from the store. */
function nextKeeperOf(fixture: CellFixture): CellFixture {
  const next = new CellFixture();
  next.nowMs = fixture.nowMs;
  next.wallMs = fixture.wallMs;
  for (const job of fixture.cell.jobs.values()) {
    const row = JSON.parse(JSON.stringify(encodeJob(job))) as JobProgressRow;
    next.cell.load(decodeJob(job.definition, row, next.nowMs));
  }
  return next;
}

// Guards against a job that fails since each keeper counts the same crash of a
// runner, which is back but cut off (histories, seed 2455).
describe("a crash counts once", () => {
  it("though several keepers hear of the next life", () => {
    let fixture = new CellFixture();
    fixture.reportWorker("w");
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance(100);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
    for (let keeper = 1; keeper <= keeperCount; keeper++) {
      if (keeper > 1) fixture = nextKeeperOf(fixture);
      fixture.reportWorker("w", {
        life: "w@2" as RunnerLife,
        isUp: false,
        crashedStarts: ["j.0.0.0#1"],
      });
      fixture.advance(1_000);
    }
    expect(fixture.cell.task("j.0.0.0" as never)?.crashes).to.equal(1);
    expect(fixture.jobState("j")).to.equal("queued");
  });
});
