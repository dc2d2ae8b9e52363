import { expect } from "chai";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;
const first = "j.0.0.0" as TaskName;

/** The states that were published. */
function shown(fixture: CellFixture): string[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === "show" ? [effect.state] : []
  );
}

// Guards against jobs that count as begun while no runner has begun a task.
describe("a job is shown as running", () => {
  const schedule = { firstMs: 0, intervalMs: 1_000_000, count: 2 };
  const jobs: {
    name: string;
    steps: StepDefinition[];
    change?: Partial<JobDefinition>;
  }[] = [
    { name: "of one task", steps: [step()] },
    { name: "of a gang", steps: [step({ isGang: true, count: 2 })] },
    { name: "with occurrences", steps: [step()], change: { schedule } },
    { name: "that lasts", steps: [step({ isService: true })] },
  ];
  for (const { name, steps, change = {} } of jobs) {
    it(`only once a runner has begun a task of it: one ${name}`, () => {
      const fixture = new CellFixture();
      fixture.submit("j", steps, change);
      fixture.reportWorker("w");
      fixture.advance();
      expect(fixture.newStarts().length).to.be.above(0);
      expect(fixture.jobState("j")).to.equal("queued");
      const { cell, nowMs } = fixture;
      const node = "w" as NodeId;
      fixture.collect(cell.markStarted(node, { task: first, run: 1 }, nowMs));
      expect(fixture.jobState("j")).to.equal("running");
      expect(shown(fixture)).to.eql(["queued", "running"]);
    });
  }

  it("not while its claim is on a worker that was lost", () => {
    const fixture = new CellFixture();
    fixture.submit("j", [step()]);
    fixture.reportWorker("w");
    fixture.advance();
    fixture.collect(
      fixture.cell.handleWorkerLost("w" as NodeId, fixture.nowMs),
    );
    fixture.reportWorker("v");
    fixture.advance(2_500);
    expect(fixture.newStarts()).to.include("j.0.0.0#2@v");
    expect(fixture.jobState("j")).to.equal("queued");
    const running = fixture.runningOn("v");
    fixture.reportWorker("v", { running });
    expect(fixture.jobState("j")).to.equal("running");
  });

  for (const hasBegun of [false, true]) {
    const state = hasBegun ? "running" : "queued";
    it(`by the next keeper too, if it was: ${state}`, () => {
      const fixture = new CellFixture();
      fixture.submit("j", [step()]);
      fixture.reportWorker("w");
      fixture.advance();
      if (hasBegun) {
        fixture.reportWorker("w", { running: fixture.runningOn("w") });
      }
      const job = fixture.cell.jobs.get("j" as JobId)!;
      const row = JSON.parse(JSON.stringify(encodeJob(job)));
      const restored = decodeJob(job.definition, row, fixture.nowMs);
      expect(restored.state).to.equal(state);
      expect(restored.hasStarted).to.equal(true);
      const next = new CellFixture();
      next.cell.load(restored);
      next.reportWorker("w", { running: fixture.runningOn("w") });
      expect(next.jobState("j")).to.equal("running");
    });
  }

  it("and stored as such within a second", () => {
    const fixture = new CellFixture();
    fixture.submit("j", [step()]);
    fixture.reportWorker("w");
    fixture.advance();
    fixture.advance(1_000);
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    fixture.effects = [];
    fixture.advance(1_000);
    const saved = fixture.effects.filter(({ kind }) => kind === "save");
    expect(saved).to.have.length(1);
  });

  it("also if its run ended before it was seen", () => {
    const fixture = new CellFixture();
    fixture.submit("j", [step(), step({ after: [0] })]);
    fixture.reportWorker("w");
    fixture.advance();
    fixture.endRun("w", first, 1, "done");
    expect(shown(fixture)).to.eql(["queued", "running"]);
  });
});
