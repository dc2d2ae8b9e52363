import { expect } from "chai";
import type { Worker } from "../src/core/cell/worker.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunOutcome } from "../src/core/jobs/run_outcome.ts";
import { CellFixture } from "./cell_fixture.ts";

const tickMs = 50;
/** The users' bound for a task that lasts, after the end of its last run. */
const maxWaitMs = 6_000;
/** Longer than anything that rules a worker out lasts. */
const giveUpMs = 40_000;

type Outcome = Exclude<RunOutcome, "done">;

const outcomes: readonly Outcome[] = ["stopped", "failed", "lapsed"];
const conditions: readonly (readonly [string, (worker: Worker) => void])[] = [
  ["suspended", (worker) => worker.suspendedUntilMs = Infinity],
  ["slow", (worker) => worker.speed = "slow"],
  ["probing", (worker) => worker.speed = "probing"],
];

/** Ends the run on w, and returns how long the task waits for its next one. */
function waitAfterEnd(outcome: Outcome, rule: (worker: Worker) => void) {
  const fixture = new CellFixture();
  for (const node of ["v", "w"]) fixture.reportWorker(node);
  const step = CellFixture.step({
    count: 2,
    isService: true,
    mostPerWorker: 1,
  });
  fixture.submit("j", [step]);
  fixture.advance();
  const [task] = fixture.runsOn("w");
  fixture.newStarts();
  fixture.endRun("w", task!.name, 1, outcome);
  rule(fixture.cell.worker("w" as NodeId));
  for (let waitedMs = 0; waitedMs <= giveUpMs; waitedMs += tickMs) {
    fixture.advance(tickMs);
    fixture.reportWorker("v", { running: fixture.runningOn("v") });
    if (fixture.newStarts().length > 0) return waitedMs;
  }
  return Infinity;
}

// Guards against a task of a service that waits for as long as its job has runs.
describe("a task of a service, beside one that runs", () => {
  for (const outcome of outcomes) {
    for (const [name, rule] of conditions) {
      it(`${outcome}: runs soon on the only worker with room, ${name}`, () => {
        expect(waitAfterEnd(outcome, rule)).to.be.at.most(maxWaitMs);
      });
    }
  }
});
