import { expect } from "chai";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobProgressRow } from "../src/core/cell/job_progress_row.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { CellFixture } from "./cell_fixture.ts";

const { step } = CellFixture;

function fixtureWith(
  workers: readonly string[],
  steps: readonly StepDefinition[],
  queue?: { maxAttempts: number },
): CellFixture {
  const fixture = new CellFixture(queue);
  for (const worker of workers) fixture.reportWorker(worker);
  fixture.submit("j", steps);
  fixture.advance();
  return fixture;
}

describe("a cell runs jobs", () => {
  it("starts tasks that fit, and a step once its dependencies are done", () => {
    const fixture = fixtureWith(["w"], [
      step({ count: 2 }),
      step({ after: [0] }),
    ]);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w", "j.0.0.1#1@w"]);
    fixture.endRun("w", "j.0.0.0", 1, "done");
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
    fixture.endRun("w", "j.0.0.1", 1, "done");
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.1.0#1@w"]);
    expect(fixture.jobState("j")).to.equal("running");
    fixture.endRun("w", "j.0.1.0", 1, "done");
    expect(fixture.jobState("j")).to.equal("completed");
  });

  it("never exceeds the capacity of a worker", () => {
    const fixture = fixtureWith(["w"], [step({ count: 9 })]);
    expect(fixture.newStarts()).to.have.length(4);
  });

  it("counts the resources of a stopping run until its end is reported", () => {
    const fixture = fixtureWith(["w"], [step({ count: 4 })]);
    fixture.newStarts();
    fixture.collect(fixture.cell.cancel("j" as JobId, fixture.nowMs));
    fixture.submit("k", [step()]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
    fixture.endRun("w", "j.0.0.0", 1, "stopped");
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["k.0.0.0#1@w"]);
  });

  it("ignores a second submission with the same id", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.submit("j", [step({ count: 3 })]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
  });

  it("runs an occurrence when it is due, not before", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w");
    const schedule = {
      firstMs: fixture.wallMs + 1_000,
      intervalMs: 2_000,
      count: 2,
    };
    fixture.submit("j", [step()], { schedule });
    fixture.advance(999);
    expect(fixture.newStarts()).to.eql([]);
    fixture.advance(1);
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
    fixture.advance(2_000);
    expect(fixture.newStarts()).to.eql(["j.1.0.0#1@w"]);
    fixture.endRun("w", "j.0.0.0", 1, "done");
    fixture.endRun("w", "j.1.0.0", 1, "done");
    expect(fixture.jobState("j")).to.equal("completed");
  });
});

describe("the end of a run", () => {
  const cases = [
    { outcome: "failed", maxAttempts: 1, state: "failed" },
    { outcome: "failed", maxAttempts: 2, state: "running" },
    { outcome: "lapsed", maxAttempts: 1, state: "running" },
    { outcome: "stopped", maxAttempts: 1, state: "running" },
    { outcome: "broken", maxAttempts: 1, state: "running" },
    { outcome: "alone", maxAttempts: 1, state: "running" },
  ] as const;
  for (const { outcome, maxAttempts, state } of cases) {
    it(`${outcome} with ${maxAttempts} attempts: the job is ${state}`, () => {
      const fixture = fixtureWith(["w"], [step()], {
        maxAttempts: maxAttempts,
      });
      fixture.newStarts();
      fixture.endRun("w", "j.0.0.0", 1, outcome, "c1");
      fixture.advance();
      expect(fixture.jobState("j")).to.equal(state);
      const commands = fixture.newStartCommands();
      if (state === "failed") expect(commands).to.eql([]);
      else {
        expect(commands.map(({ run }) => run)).to.eql([2]);
        expect(commands[0]?.checkpoint).to.equal("c1");
      }
    });
  }

  it("is applied once, however often it is reported", () => {
    const fixture = fixtureWith(["w"], [step({ count: 2 })], {
      maxAttempts: 2,
    });
    fixture.newStarts();
    const end = {
      number: 1,
      task: "j.0.0.0" as TaskName,
      run: 1,
      outcome: "failed",
      checkpoint: "",
    } as const;
    fixture.reportWorker("w", {
      ends: [end],
      running: fixture.runningOn("w", "j.0.0.0"),
    });
    fixture.reportWorker("w", {
      ends: [end],
      running: fixture.runningOn("w", "j.0.0.0"),
    });
    fixture.advance();
    expect(fixture.jobState("j")).to.equal("running");
  });

  it("is acknowledged only after the save that contains it", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.effects = [];
    fixture.endRun("w", "j.0.0.0", 1, "done");
    const kinds = fixture.effects.map(({ kind }) => kind);
    expect(kinds.indexOf("save")).to.be.lessThan(kinds.indexOf("forget"));
  });

  it("restarts a service regardless of its attempt limit", () => {
    const fixture = fixtureWith(["w"], [step({ isService: true })], {
      maxAttempts: 1,
    });
    fixture.newStarts();
    fixture.endRun("w", "j.0.0.0", 1, "failed");
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@w"]);
  });

  it("of a gang's task stops the other tasks, then restarts the gang", () => {
    const fixture = fixtureWith(["w"], [step({ count: 2, isGang: true })]);
    expect(fixture.newStarts()).to.have.length(2);
    fixture.endRun("w", "j.0.0.0", 1, "failed", "c");
    expect(fixture.newStops()).to.eql(["j.0.0.1#1@w"]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
    fixture.endRun("w", "j.0.0.1", 1, "broken");
    fixture.advance();
    const commands = fixture.newStartCommands();
    expect(commands.map(({ run }) => run)).to.eql([2, 2]);
    expect(new Set(commands.map(({ checkpoint }) => checkpoint)).size).to.equal(
      1,
    );
  });

  it("`done` of one task of a gang completes all its tasks", () => {
    const fixture = fixtureWith(["w"], [step({ count: 2, isGang: true })]);
    fixture.endRun("w", "j.0.0.1", 1, "done");
    expect(fixture.jobState("j")).to.equal("completed");
  });
});

describe("a worker", () => {
  it("loses its claims when its runner restarts", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.newStarts();
    fixture.reportWorker("w", { life: "w@2" as RunnerLife });
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@w"]);
  });

  const life = "w@2" as RunnerLife;
  const observations: {
    name: string;
    observe: (fixture: CellFixture) => void;
  }[] = [
    {
      name: "it runs there",
      observe: (fixture) =>
        fixture.reportWorker("w", { life, running: fixture.runningOn("w") }),
    },
    {
      name: "it may still start there",
      observe: (fixture) =>
        fixture.reportWorker("w", { life, unsettled: ["j.0.0.0#1"] }),
    },
    {
      name: "the runner does not answer yet",
      observe: (fixture) => fixture.reportWorker("w", { life, isUp: false }),
    },
  ];
  for (const { name, observe } of observations) {
    it(`keeps a claim whose start reached a new life, while ${name}`, () => {
      const fixture = fixtureWith(["w", "v"], [step()]);
      fixture.reportWorker("v", { isDraining: true });
      fixture.newStarts();
      observe(fixture);
      fixture.reportWorker("v");
      fixture.advance();
      expect([fixture.newStarts(), fixture.newStops()]).to.eql([[], []]);
    });
  }

  it("may report the end of a run in a later life than its claim names", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.endRun("w", "j.0.0.0", 1, "done", "", { life });
    expect(fixture.jobState("j")).to.equal("completed");
  });

  it("keeps its claims while its runner does not answer", () => {
    const fixture = fixtureWith(["w", "v"], [step()]);
    const [started = ""] = fixture.newStarts();
    const node = started.split("@")[1] ?? "";
    fixture.reportWorker(node, { isUp: false });
    fixture.advance(1_000);
    expect(fixture.newStarts()).to.eql([]);
  });

  it("loses its claims once its lease has certainly expired", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.reportWorker("v");
    fixture.newStarts();
    fixture.reportWorker("w", { isUp: false, isLapsed: true });
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@v"]);
  });

  it("receives a start again if its report after a reconnect lacks it", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.newStarts();
    fixture.cell.handleDisconnect("w" as NodeId);
    fixture.reportWorker("w");
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@w"]);
  });

  it("receives a command again if its reports show no effect of it", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.newStarts();
    fixture.reportWorker("w");
    expect(fixture.newStarts(), "at once").to.eql([]);
    fixture.nowMs += 1_500;
    fixture.reportWorker("w");
    expect(fixture.newStarts(), "after the resend interval").to.eql([
      "j.0.0.0#1@w",
    ]);
    fixture.collect(fixture.cell.cancel("j" as JobId, fixture.nowMs));
    fixture.newStops();
    fixture.nowMs += 1_500;
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    expect(fixture.newStops(), "resent stop").to.eql(["j.0.0.0#1@w"]);
  });

  it("gets no starts after an `other_life` refusal until it reports", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.newStarts();
    fixture.refuse("w", "j.0.0.0", 1, "other_life");
    fixture.advance(50);
    expect(fixture.newStarts()).to.eql([]);
    fixture.reportWorker("w", { life });
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@w"]);
  });

  it("receives a stop for a run that is not claimed", () => {
    const fixture = fixtureWith(["w"], [step()]);
    const unclaimed = {
      task: "j.0.0.0" as TaskName,
      run: 7,
      checkpoint: "",
      percent: 0,
      figure: 0,
    };
    fixture.reportWorker("w", {
      running: [...fixture.runningOn("w"), unclaimed],
    });
    expect(fixture.newStops()).to.eql(["j.0.0.0#7@w"]);
  });

  it("keeps resources reserved for an unclaimed run until it has ended", () => {
    const fixture = fixtureWith(["w"], [step({ count: 4 })]);
    fixture.newStarts();
    const unclaimed = { ...fixture.runningOn("w")[0]!, run: 9 };
    fixture.endRun("w", "j.0.0.3", 1, "done");
    fixture.reportWorker("w", {
      running: [...fixture.runningOn("w"), unclaimed],
    });
    fixture.submit("k", [step()]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
  });

  it("gets no starts while it drains", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w", { isDraining: true });
    fixture.submit("j", [step()]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
  });

  it("has services stopped and moved when it starts to drain", () => {
    const fixture = fixtureWith(["w"], [step({ isService: true }), step()]);
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    fixture.reportWorker("v");
    fixture.newStarts();
    fixture.reportWorker("w", {
      isDraining: true,
      running: fixture.runningOn("w"),
    });
    fixture.advance();
    expect(fixture.newStops()).to.eql(["j.0.0.0#1@w"]);
    fixture.endRun("w", "j.0.0.0", 1, "stopped", "", { isDraining: true });
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@v"]);
  });

  it("is avoided for a time when all the runs it starts fail", () => {
    const fixture = fixtureWith(["w"], [step({ count: 3 })], {
      maxAttempts: 9,
    });
    fixture.reportWorker("v");
    fixture.reportWorker("u");
    fixture.newStarts();
    for (const i of [0, 1, 2]) fixture.endRun("w", `j.0.0.${i}`, 1, "failed");
    fixture.advance();
    expect(fixture.newStarts().every((start) => !start.endsWith("@w"))).to
      .equal(
        true,
      );
    expect(fixture.cell.worker("w" as NodeId).suspendedUntilMs).to.be
      .greaterThan(
        fixture.nowMs,
      );
  });

  it("has runs without progress stopped", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    fixture.advance(1_999);
    expect(fixture.newStops()).to.eql([]);
    fixture.advance(1);
    expect(fixture.newStops()).to.eql(["j.0.0.0#1@w"]);
  });
});

describe("placement", () => {
  const label = step({ label: "b" });
  const cases = [
    { name: "requires the label", steps: [label], starts: 0 },
    {
      name: "respects the limit of tasks per worker",
      steps: [step({ count: 3, mostPerWorker: 1 })],
      starts: 2,
    },
    {
      name: "starts no part of a gang that does not fit",
      steps: [step({ count: 9, isGang: true })],
      starts: 0,
    },
    {
      name: "counts the memory of fillers",
      steps: [step({
        count: 3,
        isFiller: true,
        resources: {
          cpuMilli: 100,
          memoryBytes: 3_000 * 1_048_576,
          accelerators: 0,
        },
      })],
      starts: 2,
    },
  ];
  for (const { name, steps, starts } of cases) {
    it(name, () => {
      expect(fixtureWith(["w", "v"], steps).newStarts()).to.have.length(starts);
    });
  }

  it("starts a waiting job in the end although it disturbs a service", () => {
    const fixture = fixtureWith(["w"], [
      step({ isService: true, image: "s", targetLatencyMs: 10 }),
    ]);
    fixture.newStarts();
    for (let sample = 0; sample < 20; sample++) {
      fixture.cell.pressure.learn("s", "j", 4, new Map([["f", 0.1]]));
    }
    fixture.submit("k", [step({ count: 3, isFiller: true, image: "f" })]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql([]);
    fixture.advance(1_800);
    expect(fixture.newStarts()).to.eql(["k.0.0.0#1@w"]);
  });
});

describe("a gang that fits on suspended workers alone", () => {
  it("starts there in the end, though one task fits elsewhere", () => {
    const fixture = new CellFixture();
    for (const node of ["w", "v"]) fixture.reportWorker(node);
    fixture.cell.worker("v" as NodeId).suspendedUntilMs = Infinity;
    const wide = { cpuMilli: 3_000, memoryBytes: 1, accelerators: 0 };
    fixture.submit("j", [step({ count: 2, isGang: true, resources: wide })]);
    fixture.advance();
    fixture.advance(1_700);
    expect(fixture.newStarts()).to.eql([]);
    fixture.advance(100);
    expect(fixture.newStarts()).to.have.length(2);
  });
});

describe("a filler, while a new keeper waits for workers", () => {
  const cases = [
    { name: "that report soon: waits for them", waitMs: 400, isLate: false },
    {
      name: "that stay silent: starts in the end",
      waitMs: 1_200,
      isLate: true,
    },
  ];
  for (const { name, waitMs, isLate } of cases) {
    it(name, () => {
      const earlier = new CellFixture();
      earlier.reportWorker("w");
      earlier.submit("s", [step({ isService: true, image: "s" })]);
      earlier.advance();
      const fixture = new CellFixture();
      const service = earlier.cell.jobs.get("s" as JobId)!;
      fixture.cell.load(service);
      fixture.submit("j", [step({ isFiller: true, image: "f" })]);
      fixture.reportWorker("v");
      fixture.advance();
      fixture.advance(waitMs - 50);
      expect(fixture.newStarts()).to.eql([]);
      if (!isLate) {
        fixture.reportWorker("w", { running: earlier.runningOn("w") });
      }
      fixture.advance(50);
      expect(fixture.newStarts()).to.have.length(1);
    });
  }
});

describe("a filler", () => {
  it("prefers a worker on which few other images would fit", () => {
    const fixture = new CellFixture();
    for (const node of ["open", "closed"]) fixture.reportWorker(node);
    fixture.cell.worker("closed" as NodeId).fillerSensitivity = 0.8;
    fixture.submit("j", [step({ isFiller: true, image: "f" })]);
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@closed"]);
  });
});

describe("a queue with an advisor", () => {
  function advisedFixture(): CellFixture {
    const fixture = new CellFixture();
    const advice = { decideMs: 50, perWorkerMs: 5, validMs: 10_000 };
    fixture.cell.queues.set("q", { ...fixture.cell.queues.get("q")!, advice });
    fixture.reportWorker("w");
    fixture.reportWorker("v");
    fixture.submit("j", [step()]);
    fixture.advance();
    return fixture;
  }

  it("queries the advisor once, and starts nothing before the answer", () => {
    const fixture = advisedFixture();
    fixture.advance(100);
    expect(fixture.newStarts()).to.eql([]);
    const queries = fixture.effects.filter(({ kind }) => kind === "ask");
    expect(queries).to.eql([
      { kind: "ask", step: "j.0.0", lives: ["w@1", "v@1"], timeoutMs: 2_240 },
    ]);
  });

  it("starts a task on an advised worker, with its ticket", () => {
    const fixture = advisedFixture();
    fixture.cell.advice.recordAnswer(
      "j.0.0",
      new Map([["v@1" as RunnerLife, "t1"]]),
    );
    fixture.advance();
    const [command] = fixture.newStartCommands();
    expect([command?.task, command?.life, command?.ticket]).to.eql([
      "j.0.0.0",
      "v@1",
      "t1",
    ]);
  });

  it("queries the advisor again after a ticket was refused", () => {
    const fixture = advisedFixture();
    fixture.cell.advice.recordAnswer(
      "j.0.0",
      new Map([["v@1" as RunnerLife, "t1"]]),
    );
    fixture.advance();
    fixture.effects = [];
    fixture.refuse("v", "j.0.0.0", 1, "ticket");
    fixture.advance();
    expect(fixture.effects.some(({ kind }) => kind === "ask")).to.equal(true);
  });
});

describe("a job row", () => {
  const cases: { name: string; prepare: (fixture: CellFixture) => void }[] = [
    { name: "has not started", prepare: () => {} },
    { name: "is running", prepare: (fixture) => fixture.reportWorker("w") },
    {
      name: "is partly done",
      prepare: (fixture) => {
        fixture.reportWorker("w");
        fixture.advance();
        fixture.endRun("w", "j.0.0.0", 1, "done");
        fixture.endRun("w", "j.0.0.1", 1, "failed", "c9");
      },
    },
  ];
  for (const { name, prepare } of cases) {
    it(`restores a job that ${name}`, () => {
      const fixture = new CellFixture();
      fixture.submit("j", [step({ count: 3 }), step({ after: [0] })]);
      prepare(fixture);
      fixture.advance();
      const job = fixture.cell.jobs.get("j" as JobId)!;
      const row = JSON.parse(JSON.stringify(encodeJob(job))) as JobProgressRow;
      const restored = decodeJob(job.definition, row, fixture.nowMs);
      expect(encodeJob(restored)).to.eql(encodeJob(job));
      expect(restored.state).to.equal(job.state);
    });
  }

  it("lets a new keeper take over active runs", () => {
    const fixture = fixtureWith(["w"], [step()]);
    const job = fixture.cell.jobs.get("j" as JobId)!;
    const next = new CellFixture();
    next.cell.load(decodeJob(job.definition, encodeJob(job), 0));
    next.reportWorker("w", { running: fixture.runningOn("w") });
    next.advance();
    expect([next.newStarts(), next.newStops()]).to.eql([[], []]);
    next.endRun("w", "j.0.0.0", 1, "done");
    expect(next.jobState("j")).to.equal("completed");
  });
});

describe("a cancelled job", () => {
  it("is stopped, not restarted, by a new keeper", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.collect(fixture.cell.cancel("j" as JobId, fixture.nowMs));
    const job = fixture.cell.jobs.get("j" as JobId)!;
    const next = new CellFixture();
    next.cell.load(decodeJob(job.definition, encodeJob(job), 0));
    next.reportWorker("w");
    next.advance();
    expect([next.newStarts(), next.newStops()]).to.eql([[], ["j.0.0.0#1@w"]]);
  });

  it("has no workers to stop once all its runs have ended", () => {
    const fixture = fixtureWith(["w"], [step()]);
    fixture.collect(fixture.cell.cancel("j" as JobId, fixture.nowMs));
    fixture.effects = [];
    fixture.endRun("w", "j.0.0.0", 1, "stopped");
    const job = fixture.cell.jobs.get("j" as JobId)!;
    expect(fixture.effects.map(({ kind }) => kind)).to.include("save");
    expect(encodeJob(job).w).to.eql([]);
  });
});

describe("a checkpoint", () => {
  it("is stored within a second even if nothing else changes", () => {
    const fixture = fixtureWith(["w"], [step({ savesProgress: true })]);
    fixture.reportWorker("w", { running: fixture.runningOn("w") });
    fixture.advance(1_000);
    fixture.effects = [];
    const running = fixture.runningOn("w").map((run) => ({
      ...run,
      percent: 50,
      checkpoint: "c1",
    }));
    fixture.reportWorker("w", { running });
    fixture.advance(1_000);
    const job = fixture.cell.jobs.get("j" as JobId)!;
    expect(fixture.effects.map(({ kind }) => kind)).to.eql(["save"]);
    expect(JSON.stringify(encodeJob(job))).to.include("c1");
  });
});
