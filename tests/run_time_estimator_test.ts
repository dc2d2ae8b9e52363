import { expect } from "chai";
import * as v from "valibot";
import { Logger } from "../src/adapters/logger.ts";
import { JobDirectory } from "../src/cellhost/job_directory.ts";
import { UnsavedRows } from "../src/cellhost/unsaved_rows.ts";
import { Job } from "../src/core/cell/job.ts";
import type { TaskGroup } from "../src/core/cell/task_group.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import { RunTimesRow } from "../src/schema/rows/run_times_row.ts";
import { KindTimes } from "../src/core/estimate/kind_times.ts";
import { RunTimeEstimator } from "../src/core/estimate/run_time_estimator.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;

function groupOf(change: Partial<StepDefinition> = {}): TaskGroup {
  const job = new Job({
    id: "j" as JobId,
    queue: "q",
    payload: "",
    steps: [step(change)],
    schedule: undefined,
    receivedMs: 0,
  });
  return job.openOccurrence(0).groups[0]!;
}

/** Runs the first task of a group, with reports at the given interval. */
function runTask(
  estimator: RunTimeEstimator,
  group: TaskGroup,
  tookMs: number,
  { figure = 0, percentFrom = 0 } = {},
): void {
  const task = group.tasks[0]!;
  task.run = 1;
  task.claim = {
    node: "w" as NodeId,
    life: "w@1" as never,
    phase: "running",
    isOrdered: true,
    phaseSinceMs: 0,
    hasBegun: true,
    isListed: true,
    isStartingUp: false,
    ticket: undefined,
    progressPercent: 0,
    progressAtMs: 0,
    startCheckpoint: "",
  };
  const worker = { claims: new Map([[task.name, task]]) };
  const span = 100 - percentFrom;
  for (let nowMs = 0; nowMs < tookMs; nowMs += 450) {
    const percent = Math.floor(percentFrom + span * nowMs / tookMs);
    const status = { task: task.name, run: 1, checkpoint: "", percent, figure };
    estimator.observe(worker as never, new Map([[task.name, status]]), nowMs);
  }
  estimator.recordDone(task, tookMs, -1);
}

describe("learned run times", () => {
  it("are the declared ones for a kind never seen", () => {
    const estimator = new RunTimeEstimator();
    expect(estimator.expectedMs(groupOf({ expectedMs: 700 }))).to.equal(700);
  });

  const cases: readonly (readonly [
    name: string,
    declaredMs: (actualMs: number, random: () => number) => number,
    minTrust: number,
    maxTrust: number,
    maxError: number,
  ])[] = [
    ["declared right", (ms) => ms, 0.95, 1, 0.1],
    ["declared 3 times too short", (ms) => ms / 3, 0.95, 1, 0.25],
    ["declared 3 times too long", (ms) => ms * 3, 0.95, 1, 0.25],
    ["declared at random", (_, random) => 500 * 9 ** random(), 0, 0.35, 0.5],
  ];
  for (const [name, declare, minTrust, maxTrust, maxError] of cases) {
    it(`follow tasks that were ${name}`, () => {
      const random = new SeededRandom(1);
      const times = new KindTimes();
      const errors: number[] = [];
      for (let sample = 0; sample < 120; sample++) {
        const actualMs = 1_000 * (0.6 + 0.8 * random.next());
        const declaredMs = declare(actualMs, () => random.next());
        const learnedMs = times.quantileMs(declaredMs, 0.5);
        if (sample >= 40) errors.push(Math.abs(learnedMs / actualMs - 1));
        const isTail = random.next() < 0.03;
        times.learn(declaredMs, actualMs * (isTail ? 7 : 1), 1);
      }
      errors.sort((a, b) => a - b);
      expect(times.trust).to.be.within(minTrust, maxTrust);
      expect(errors[40]).to.be.below(maxError);
    });
  }

  it("adapt when the work of a kind changes", () => {
    const times = new KindTimes();
    for (let sample = 0; sample < 60; sample++) times.learn(1_000, 1_000, 1);
    for (let sample = 0; sample < 60; sample++) times.learn(1_000, 4_000, 1);
    expect(times.quantileMs(1_000, 0.5)).to.be.within(3_500, 4_500);
  });

  it("count a paced filler as if it had all its CPU", () => {
    const estimator = new RunTimeEstimator();
    const change = { isFiller: true, image: "f", expectedMs: 3_000 };
    for (let sample = 0; sample < 20; sample++) {
      runTask(estimator, groupOf(change), 12_000, { figure: 250 });
    }
    expect(estimator.expectedMs(groupOf(change))).to.be.within(2_700, 3_300);
  });

  it("count a run that an earlier keeper began by its progress", () => {
    const estimator = new RunTimeEstimator();
    const group = () => groupOf({ expectedMs: 3_000 });
    for (let sample = 0; sample < 20; sample++) {
      runTask(estimator, group(), 1_500, { percentFrom: 50 });
    }
    expect(estimator.expectedMs(group())).to.be.within(2_700, 3_300);
  });

  it("follow a step's own tasks once some of them are known", () => {
    const estimator = new RunTimeEstimator();
    const group = groupOf({ count: 2, expectedMs: 1_000 });
    runTask(estimator, group, 5_000);
    const [, second] = group.tasks;
    second!.claim = group.tasks[0]!.claim;
    estimator.recordDone(second!, 5_000, -1);
    estimator.observe({ claims: new Map() } as never, new Map(), 9_000);
    expect(estimator.expectedMs(group)).to.be.within(4_900, 5_100);
  });

  it("are kept by the next keeper", () => {
    const earlier = new RunTimeEstimator();
    for (let sample = 0; sample < 30; sample++) {
      runTask(earlier, groupOf({ expectedMs: 1_000 }), 3_000);
    }
    const unsaved = new UnsavedRows();
    unsaved.add({ kind: "runTimes", row: earlier.encode() });
    const directory = new JobDirectory(new Logger("silent", {}));
    directory.applyProgressRows(
      unsaved.take().map((row, offset) => ({ ...row, offset })),
    );
    const next = new RunTimeEstimator();
    next.restore(directory.runTimes ?? { kinds: [] });
    const group = groupOf({ expectedMs: 1_000 });
    expect(next.expectedMs(group)).to.be.closeTo(earlier.expectedMs(group), 5);
    expect(next.expectedMs(group)).to.be.above(2_500);
  });
});

describe("a stored row of run times is refused", () => {
  const sums = [1, 1, 1, 1, 1];
  const cases: readonly (readonly [name: string, kind: unknown])[] = [
    ["without a kind's name", [1, sums, 0, [1]]],
    ["with a missing sum", ["k", [1, 1], 0, [1]]],
    ["with a sum that is null", ["k", [1, 1, null, 1, 1], 0, [1]]],
    ["with times out of all bounds", ["k", [1, 700, 1, 1, 1], 0, [1]]],
    ["with a negative weight", ["k", sums, 0, [-1]]],
    ["with a bin before the first", ["k", sums, -1, [1]]],
    ["with a bin after the last", ["k", sums, 64, [1, 1]]],
  ];
  for (const [name, kind] of cases) {
    it(
      name,
      () => expect(v.is(RunTimesRow, { kinds: [kind] })).to.equal(false),
    );
  }

  it("not in its proper shape", () => {
    expect(v.is(RunTimesRow, { kinds: [["k", sums, 64, [1]]] })).to.equal(true);
    expect(v.is(RunTimesRow, {})).to.equal(false);
  });
});
