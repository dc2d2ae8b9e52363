import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { loadJob } from "../src/cellhost/load_job.ts";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../src/core/cell/job_progress_row.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunEnd } from "../src/core/jobs/run_end.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import { isPeerMessage } from "../src/link/is_peer_message.ts";
import { CellFixture } from "./cell_fixture.ts";
import { idleReport } from "./idle_report.ts";

const log = new Logger("silent", {});
const { step } = CellFixture;
const definition = {
  id: "later" as JobId,
  queue: "q",
  payload: "p",
  steps: [step()],
  schedule: undefined,
  receivedMs: 1,
};
const row = {
  s: "r",
  n: 1,
  w: [["w", "w@1"]],
  o: [[0, [[[1, 0, "", 0]]]]],
} as const;

function end(number: number, task: string): RunEnd {
  const name = task as TaskName;
  return { number, task: name, run: 1, outcome: "done", checkpoint: "" };
}

function forgotten(fixture: CellFixture): number[] {
  return fixture.effects.flatMap((effect) =>
    effect.kind === "forget" ? [effect.end] : []
  );
}

describe("a row that a later build wrote", () => {
  it("keeps the fields that are not known here", () => {
    const later = { ...row, budget: { spent: 3 } };
    const job = decodeJob(definition, later, 0);
    const written = JSON.parse(JSON.stringify(encodeJob(job)));
    expect(written).to.eql(JSON.parse(JSON.stringify(later)));
  });

  const unreadable = [
    { name: "is of an unknown state", value: { ...row, s: "paused" } },
    { name: "lacks its list of workers", value: { ...row, w: undefined } },
  ];
  for (const { name, value } of unreadable) {
    it(`is left alone with its runs and ends if it ${name}`, () => {
      const fixture = new CellFixture();
      const { cell } = fixture;
      const later = value as unknown as JobProgressRow;
      loadJob(cell, definition, later, fixture.nowMs, log);
      fixture.submit("j", [step()]);
      fixture.reportWorker("w");
      fixture.advance();
      fixture.newStarts();
      const task = "later.0.0.0" as TaskName;
      const run = { task, run: 1, checkpoint: "", percent: 5, figure: 0 };
      const running = [run, ...fixture.runningOn("w")];
      fixture.reportWorker("w", { running });
      expect(fixture.newStops()).to.eql([]);
      expect(cell.worker("w" as NodeId).strays.size).to.equal(1);
      const ends = [end(1, "later.0.0.0"), end(2, "j.0.0.0")];
      fixture.reportWorker("w", { ends });
      expect(fixture.jobState("j")).to.equal("completed");
      expect(forgotten(fixture)).to.eql([0]);
      fixture.advance(10_000);
      expect(cell.jobs.has(definition.id)).to.equal(false);
    });
  }
});

describe("a message of another build", () => {
  const report = idleReport("w");
  const cases = [
    { name: "a report of the build before", check: isPeerMessage, report },
    {
      name: "a report with a field of a later build",
      check: isPeerMessage,
      report: { ...report, isLifeBeforeUnknown: true, weather: "fine" },
    },
  ];
  for (const { name, check, report } of cases) {
    it(`is read: ${name}`, () => {
      expect(check({ kind: "report", number: 1, report })).to.equal(true);
    });
  }

  it("is read, and ignored, if its kind is not known", () => {
    const message = { kind: "later", jobs: 3 };
    expect(isPeerMessage(message)).to.equal(true);
    expect(isKeeperMessage(message)).to.equal(true);
  });
});
