import { expect } from "chai";
import { explainWaitingTask } from "../src/core/cell/explain_waiting_task.ts";
import { FillerView } from "../src/core/cell/filler_view.ts";
import type { Task } from "../src/core/cell/task.ts";
import type { WaitingExplanation } from "../src/core/cell/waiting_explanation.ts";
import type { WaitingReason } from "../src/core/cell/waiting_reason.ts";
import { waitingReasons } from "../src/core/cell/waiting_reasons.ts";
import type { Worker } from "../src/core/cell/worker.ts";
import type { WorkerObstacle } from "../src/core/cell/worker_obstacle.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { AdvisedFixture } from "./advised_fixture.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;
const big = { cpuMilli: 4_000, memoryBytes: 1, accelerators: 0 };

function workerOf({ cell }: CellFixture, node = "w"): Worker {
  return cell.worker(node as NodeId);
}

function taskOf({ cell }: CellFixture, name = "j.0.0.0"): Task {
  return cell.task(name as TaskName)!;
}

/** Explains the first task of j that has no claim, or else its first one. */
function explain(fixture: CellFixture): WaitingExplanation | undefined {
  const { cell, nowMs } = fixture;
  const view = new FillerView(cell.pressure, nowMs);
  const { tasks } = taskOf(fixture).group;
  const task = tasks.find(({ claim }) => claim === undefined) ?? tasks[0]!;
  return explainWaitingTask(cell, task, view);
}

/** A cell with a worker w and a job j; nothing has been placed. */
function fixtureWith(change: Partial<StepDefinition> = {}): CellFixture {
  const fixture = new CellFixture();
  fixture.reportWorker("w");
  fixture.submit("j", [step(change)]);
  return fixture;
}

/** The same with the job's task claimed on w, and its start ordered or not. */
function claimedFixture(isStoreSlow = false): CellFixture {
  const fixture = fixtureWith({ isService: true });
  fixture.isStoreSlow = isStoreSlow;
  fixture.advance();
  return fixture;
}

const withClaim: readonly [WaitingReason, () => CellFixture][] = [
  ["claim_unstored", () => claimedFixture(true)],
  ["start_unconfirmed", () => claimedFixture()],
  ["stop_unconfirmed", () => {
    const fixture = claimedFixture();
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    fixture.collect(fixture.cell.stopRun(taskOf(fixture), "t", fixture.nowMs));
    return fixture;
  }],
  ["worker_unreported", () => {
    const fixture = claimedFixture();
    workerOf(fixture).report = undefined;
    return fixture;
  }],
  ["worker_left", () => {
    const fixture = claimedFixture();
    fixture.reportWorker("w", { isUp: false, isDraining: true });
    return fixture;
  }],
  ["runner_down", () => {
    const fixture = claimedFixture();
    fixture.reportWorker("w", { isUp: false });
    return fixture;
  }],
  ["sidecar_unconnected", () => {
    const fixture = claimedFixture();
    fixture.cell.handleDisconnect("w" as NodeId);
    return fixture;
  }],
  ["worker_evacuated", () => {
    const fixture = claimedFixture();
    workerOf(fixture).isEvacuated = true;
    return fixture;
  }],
  ["worker_draining", () => {
    const fixture = claimedFixture();
    fixture.reportWorker("w", { isDraining: true });
    return fixture;
  }],
];

function advisedFixture(isMute: boolean): AdvisedFixture {
  const fixture = new AdvisedFixture();
  fixture.isMute = isMute;
  fixture.reportWorker("w");
  fixture.submit("j", [step()]);
  return fixture;
}

const withoutClaim: readonly [WaitingReason, () => CellFixture][] = [
  ["not_configured", () => {
    const fixture = fixtureWith();
    fixture.cell.isConfigured = false;
    return fixture;
  }],
  ["queue_unknown", () => {
    const fixture = fixtureWith();
    fixture.cell.queues.clear();
    return fixture;
  }],
  ["job_ended", () => {
    const fixture = fixtureWith();
    fixture.collect(fixture.cell.cancel("j" as JobId, fixture.nowMs));
    return fixture;
  }],
  ["settling", () => {
    const fixture = fixtureWith({ isFiller: true });
    fixture.submit("s", [step({ isService: true })]);
    workerOf(fixture, "v").addClaim(taskOf(fixture, "s.0.0.0"));
    fixture.cell.beganAtMs = fixture.nowMs;
    return fixture;
  }],
  ["gang_incomplete", () => {
    const fixture = fixtureWith({ isGang: true, count: 2 });
    fixture.advance();
    fixture.endRun("w", "j.0.0.0", 1, "stopped");
    return fixture;
  }],
  ["attempts_limit", () => {
    const fixture = new CellFixture({ maxAttempts: 9 }, {
      limitsAttempts: true,
    });
    const nodes = ["w", "v"];
    const endAll = (outcome: "done" | "failed") => {
      for (const node of nodes) {
        for (const { name, run } of fixture.runsOn(node)) {
          fixture.endRun(node, name, run, outcome);
        }
      }
    };
    for (const node of nodes) fixture.reportWorker(node);
    fixture.submit("good", [step({ count: 2, resources: big })]);
    fixture.advance();
    endAll("done");
    fixture.submit("j", [step({ count: 4, resources: big })]);
    fixture.advance();
    endAll("failed");
    fixture.advance();
    return fixture;
  }],
  ["begins_spent", () => {
    const resources = { ...big, cpuMilli: 1 };
    const fixture = new CellFixture(undefined, { maxRowBytes: 1_000 });
    fixture.reportWorker("w");
    fixture.submit("j", [step({ count: 100, resources })]);
    for (let tick = 0; tick < 9; tick++) fixture.advance(50);
    return fixture;
  }],
  ["advice_waits", () => advisedFixture(true)],
  ["advice_queried", () => {
    const fixture = advisedFixture(true);
    fixture.advance();
    return fixture;
  }],
  ["advice_paused", () => {
    const fixture = advisedFixture(true);
    fixture.advance();
    fixture.cell.advice.recordFailure("j.0.0", fixture.nowMs);
    return fixture;
  }],
  ["advice_rests", () => {
    const fixture = advisedFixture(false);
    fixture.advanceBy(500);
    return fixture;
  }],
  ["no_worker", () => {
    const fixture = fixtureWith();
    fixture.cell.handleDisconnect("w" as NodeId);
    return fixture;
  }],
  ["worker_found", () => fixtureWith()],
  ["worker_found", () => {
    const fixture = fixtureWith({ isService: true });
    workerOf(fixture).suspendedUntilMs = Infinity;
    fixture.advance();
    fixture.nowMs += 1_800;
    return fixture;
  }],
];

describe("the reason why a task waits", () => {
  for (const [reason, create] of withClaim) {
    it(`is ${reason}, with the worker of its claim`, () => {
      const found = explain(create());
      expect([found?.reason, found?.worker]).to.eql([reason, "w"]);
    });
  }

  for (const [reason, create] of withoutClaim) {
    it(`is ${reason}, without a claim`, () => {
      const found = explain(create());
      expect([found?.reason, found?.worker]).to.eql([reason, undefined]);
    });
  }

  it("is known for each of the reasons", () => {
    const tested = [...withClaim, ...withoutClaim].map(([reason]) => reason);
    expect([...new Set(tested)].sort()).to.eql([...waitingReasons].sort());
  });

  it("is none for a task that runs or is done", () => {
    const fixture = fixtureWith();
    fixture.advance();
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    expect(explain(fixture)).to.equal(undefined);
  });
});

const obstacles: readonly [
  WorkerObstacle,
  Partial<StepDefinition>,
  (fixture: CellFixture) => void,
][] = [
  ["not_reporting", {}, ({ cell }) => cell.handleDisconnect("w" as NodeId)],
  ["other_pool", {}, (fixture) => fixture.reportWorker("w", { pool: "p" })],
  ["down", {}, (fixture) => fixture.reportWorker("w", { isUp: false })],
  [
    "draining",
    {},
    (fixture) => fixture.reportWorker("w", { isDraining: true }),
  ],
  ["evacuated", {}, (fixture) => workerOf(fixture).isEvacuated = true],
  ["suspended", {}, (fixture) => {
    workerOf(fixture).suspendedUntilMs = fixture.nowMs + 700;
  }],
  [
    "avoided_for_speed",
    {},
    (fixture) => workerOf(fixture).speed = "slow",
  ],
  ["label", { label: "none" }, () => {}],
  ["too_many_of_step", { mostPerWorker: 1, count: 2 }, (fixture) => {
    fixture.advance();
  }],
  ["no_room", { resources: { ...big, cpuMilli: 5_000 } }, () => {}],
  ["isolated_start", {}, (fixture) => {
    fixture.submit("x", [step()]);
    const suspect = taskOf(fixture, "x.0.0.0");
    suspect.crashes = 2;
    workerOf(fixture).startingSuspects.add(suspect);
  }],
  ["reserved_quiet", {}, (fixture) => {
    fixture.submit("x", [step()]);
    const { group } = taskOf(fixture, "x.0.0.0");
    workerOf(fixture).quiet = { group, untilMs: Infinity };
  }],
  ["others_starting", { count: 2 }, (fixture) => {
    fixture.advance();
    const other = taskOf(fixture, "j.0.0.1");
    workerOf(fixture).removeClaim(other);
    other.claim = undefined;
    other.crashes = 2;
  }],
  ["no_processors", { isFiller: true, count: 9, resources: big }, (fixture) => {
    fixture.advance();
  }],
  [
    "disturbs_services",
    { isFiller: true, image: "f", resources: big },
    (fixture) => {
      const { cell } = fixture;
      fixture.submit("s", [
        step({ isService: true, image: "s", targetLatencyMs: 100 }),
      ]);
      for (let sample = 0; sample < 30; sample++) {
        cell.pressure.learn("s", "s", 3, new Map([["f", 0.2]]));
      }
      const task = taskOf(fixture, "s.0.0.0");
      const claim = { node: "w" as NodeId, phase: "running" };
      task.claim = claim as Task["claim"];
      workerOf(fixture).addClaim(task);
    },
  ],
];

describe("a worker that does not take a task", () => {
  for (const [obstacle, change, prepare] of obstacles) {
    it(`is counted as ${obstacle}`, () => {
      const fixture = fixtureWith(change);
      prepare(fixture);
      const found = explain(fixture);
      expect(found?.reason).to.equal("no_worker");
      expect(found?.inputs).to.include({ workers: 1, fits: 0, [obstacle]: 1 });
    });
  }

  it("is counted as no_ticket", () => {
    const fixture = advisedFixture(false);
    fixture.reportWorker("v");
    fixture.allowed = new Set(["v"]);
    fixture.advanceBy(50);
    fixture.advanceBy(100);
    fixture.reportWorker("v", { isDraining: true });
    const task = taskOf(fixture);
    if (task.claim !== undefined) workerOf(fixture, "v").removeClaim(task);
    task.claim = undefined;
    expect(explain(fixture)?.inputs).to.include({ no_ticket: 1, draining: 1 });
  });

  it("tells whether it would take it in relaxed mode, and when", () => {
    const fixture = fixtureWith({ isService: true });
    workerOf(fixture).suspendedUntilMs = fixture.nowMs + 9_000;
    fixture.advance();
    fixture.advance(1_000);
    expect(explain(fixture)?.inputs).to.include({
      fits_relaxed: 1,
      suspended_left_ms: 8_000,
      may_relax: false,
      relaxes_in_ms: 800,
    });
  });
});
