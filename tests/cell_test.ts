import { expect } from "chai";
import { decodeJob } from "../src/core/cell/decode_job.ts";
import { encodeJob } from "../src/core/cell/encode_job.ts";
import type { JobRow } from "../src/core/cell/job_row.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { CellBuilder } from "./cell_builder.ts";

const { step } = CellBuilder;

function built(
  workers: readonly string[],
  steps: readonly StepDefinition[],
  queue?: { maxAttempts: number },
): CellBuilder {
  const builder = new CellBuilder(queue);
  for (const worker of workers) builder.report(worker);
  builder.submit("j", steps);
  builder.tick();
  return builder;
}

describe("a cell runs jobs", () => {
  it("starts what fits, and the next step once all before it are done", () => {
    const b = built(["w"], [step({ count: 2 }), step({ after: [0] })]);
    expect(b.starts()).to.eql(["j.0.0.0#1@w", "j.0.0.1#1@w"]);
    b.end("w", "j.0.0.0", 1, "done");
    b.tick();
    expect(b.starts()).to.eql([]);
    b.end("w", "j.0.0.1", 1, "done");
    b.tick();
    expect(b.starts()).to.eql(["j.0.1.0#1@w"]);
    expect(b.state("j")).to.equal("running");
    b.end("w", "j.0.1.0", 1, "done");
    expect(b.state("j")).to.equal("completed");
  });

  it("never gives a worker more than it holds", () => {
    const b = built(["w"], [step({ count: 9 })]);
    expect(b.starts()).to.have.length(4);
  });

  it("counts what is being stopped until its end is listed", () => {
    const b = built(["w"], [step({ count: 4 })]);
    b.starts();
    b.run(b.cell.cancel("j" as JobId, b.nowMs));
    b.submit("k", [step()]);
    b.tick();
    expect(b.starts()).to.eql([]);
    b.end("w", "j.0.0.0", 1, "stopped");
    b.tick();
    expect(b.starts()).to.eql(["k.0.0.0#1@w"]);
  });

  it("takes an id that comes again as the same job", () => {
    const b = built(["w"], [step()]);
    b.submit("j", [step({ count: 3 })]);
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#1@w"]);
  });

  it("runs an occurrence when it is due, not before", () => {
    const b = new CellBuilder();
    b.report("w");
    const schedule = {
      firstMs: b.wallMs + 1_000,
      intervalMs: 2_000,
      count: 2,
    };
    b.submit("j", [step()], { schedule });
    b.tick(999);
    expect(b.starts()).to.eql([]);
    b.tick(1);
    expect(b.starts()).to.eql(["j.0.0.0#1@w"]);
    b.tick(2_000);
    expect(b.starts()).to.eql(["j.1.0.0#1@w"]);
    b.end("w", "j.0.0.0", 1, "done");
    b.end("w", "j.1.0.0", 1, "done");
    expect(b.state("j")).to.equal("completed");
  });
});

describe("a run that ends", () => {
  const cases = [
    { outcome: "failed", most: 1, state: "failed" },
    { outcome: "failed", most: 2, state: "running" },
    { outcome: "lapsed", most: 1, state: "running" },
    { outcome: "stopped", most: 1, state: "running" },
    { outcome: "broken", most: 1, state: "running" },
    { outcome: "alone", most: 1, state: "running" },
  ] as const;
  for (const { outcome, most, state } of cases) {
    it(`${outcome} with ${most} attempts leaves its job ${state}`, () => {
      const b = built(["w"], [step()], { maxAttempts: most });
      b.starts();
      b.end("w", "j.0.0.0", 1, outcome, "c1");
      b.tick();
      expect(b.state("j")).to.equal(state);
      const orders = b.orders();
      if (state === "failed") expect(orders).to.eql([]);
      else {
        expect(orders.map(({ run }) => run)).to.eql([2]);
        expect(orders[0]?.checkpoint).to.equal("c1");
      }
    });
  }

  it("is taken in once, however often it is listed", () => {
    const b = built(["w"], [step({ count: 2 })], { maxAttempts: 2 });
    b.starts();
    const end = {
      number: 1,
      task: "j.0.0.0" as TaskName,
      run: 1,
      outcome: "failed",
      checkpoint: "",
    } as const;
    b.report("w", { ends: [end], running: b.runningOn("w", "j.0.0.0") });
    b.report("w", { ends: [end], running: b.runningOn("w", "j.0.0.0") });
    b.tick();
    expect(b.state("j")).to.equal("running");
  });

  it("is forgotten only after the save that holds it", () => {
    const b = built(["w"], [step()]);
    b.effects = [];
    b.end("w", "j.0.0.0", 1, "done");
    const kinds = b.effects.map(({ kind }) => kind);
    expect(kinds.indexOf("save")).to.be.lessThan(kinds.indexOf("forget"));
  });

  it("starts a service again, whatever its attempts", () => {
    const b = built(["w"], [step({ isService: true })], { maxAttempts: 1 });
    b.starts();
    b.end("w", "j.0.0.0", 1, "failed");
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#2@w"]);
  });

  it("of a gang's member stops the others and starts all anew", () => {
    const b = built(["w"], [step({ count: 2, isGang: true })]);
    expect(b.starts()).to.have.length(2);
    b.end("w", "j.0.0.0", 1, "failed", "c");
    expect(b.stops()).to.eql(["j.0.0.1#1@w"]);
    b.tick();
    expect(b.starts()).to.eql([]);
    b.end("w", "j.0.0.1", 1, "broken");
    b.tick();
    const orders = b.orders();
    expect(orders.map(({ run }) => run)).to.eql([2, 2]);
    expect(new Set(orders.map(({ checkpoint }) => checkpoint)).size).to.equal(
      1,
    );
  });

  it("of a gang counts once for all its members", () => {
    const b = built(["w"], [step({ count: 2, isGang: true })]);
    b.end("w", "j.0.0.1", 1, "done");
    expect(b.state("j")).to.equal("completed");
  });
});

describe("a worker in trouble", () => {
  it("loses its claims when its runner begins a new life", () => {
    const b = built(["w"], [step()]);
    b.starts();
    b.report("w", { life: "w@2" as RunnerLife });
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#2@w"]);
  });

  const life = "w@2" as RunnerLife;
  const reached: { name: string; tell: (b: CellBuilder) => void }[] = [
    {
      name: "runs there",
      tell: (b) => b.report("w", { life, running: b.runningOn("w") }),
    },
    {
      name: "may yet run there",
      tell: (b) => b.report("w", { life, unsettled: ["j.0.0.0#1"] }),
    },
    {
      name: "may run there, which is not known yet",
      tell: (b) => b.report("w", { life, isUp: false }),
    },
  ];
  for (const { name, tell } of reached) {
    it(`keeps a claim whose start reached a new life and ${name}`, () => {
      const b = built(["w", "v"], [step()]);
      b.report("v", { isDraining: true });
      b.starts();
      tell(b);
      b.report("v");
      b.tick();
      expect([b.starts(), b.stops()]).to.eql([[], []]);
    });
  }

  it("takes the end of a run in a life that it was not ordered in", () => {
    const b = built(["w"], [step()]);
    b.end("w", "j.0.0.0", 1, "done", "", { life });
    expect(b.state("j")).to.equal("completed");
  });

  it("keeps its claims while its runner does not answer", () => {
    const b = built(["w", "v"], [step()]);
    const [started = ""] = b.starts();
    const node = started.split("@")[1] ?? "";
    b.report(node, { isUp: false });
    b.tick(1_000);
    expect(b.starts()).to.eql([]);
  });

  it("gives its claims up once its lease has surely run out", () => {
    const b = built(["w"], [step()]);
    b.report("v");
    b.starts();
    b.report("w", { isUp: false, isLapsed: true });
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#2@v"]);
  });

  it("is told again to start what it does not list after a reconnection", () => {
    const b = built(["w"], [step()]);
    b.starts();
    b.cell.disconnected("w" as NodeId);
    b.report("w");
    expect(b.starts()).to.eql(["j.0.0.0#1@w"]);
  });

  it("is told again what it shows nothing of, while it is connected", () => {
    const b = built(["w"], [step()]);
    b.starts();
    b.report("w");
    expect(b.starts(), "at once").to.eql([]);
    b.nowMs += 1_500;
    b.report("w");
    expect(b.starts(), "after a while").to.eql(["j.0.0.0#1@w"]);
    b.run(b.cell.cancel("j" as JobId, b.nowMs));
    b.stops();
    b.nowMs += 1_500;
    b.report("w", { running: b.runningOn("w") });
    expect(b.stops(), "a stop").to.eql(["j.0.0.0#1@w"]);
  });

  it("gets nothing after a start for an earlier life until it reports", () => {
    const b = built(["w"], [step()]);
    b.starts();
    const name = "j.0.0.0" as TaskName;
    b.run(b.cell.refused("w" as NodeId, name, 1, "other_life", b.nowMs));
    b.tick(50);
    expect(b.starts()).to.eql([]);
    b.report("w", { life });
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#2@w"]);
  });

  it("is told to stop what nobody has claimed", () => {
    const b = built(["w"], [step()]);
    const stray = {
      task: "j.0.0.0" as TaskName,
      run: 7,
      checkpoint: "",
      percent: 0,
      figure: 0,
    };
    b.report("w", { running: [...b.runningOn("w"), stray] });
    expect(b.stops()).to.eql(["j.0.0.0#7@w"]);
  });

  it("holds the room of a stray until it is gone", () => {
    const b = built(["w"], [step({ count: 4 })]);
    b.starts();
    const stray = { ...b.runningOn("w")[0]!, run: 9 };
    b.end("w", "j.0.0.3", 1, "done");
    b.report("w", { running: [...b.runningOn("w"), stray] });
    b.submit("k", [step()]);
    b.tick();
    expect(b.starts()).to.eql([]);
  });

  it("gets nothing while it drains", () => {
    const b = new CellBuilder();
    b.report("w", { isDraining: true });
    b.submit("j", [step()]);
    b.tick();
    expect(b.starts()).to.eql([]);
  });

  it("is emptied of what would not end in time once it drains", () => {
    const b = built(["w"], [step({ isService: true }), step()]);
    b.report("w", { running: b.runningOn("w") });
    b.report("v");
    b.starts();
    b.report("w", { isDraining: true, running: b.runningOn("w") });
    b.tick();
    expect(b.stops()).to.eql(["j.0.0.0#1@w"]);
    b.end("w", "j.0.0.0", 1, "stopped", "", { isDraining: true });
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#2@v"]);
  });

  it("is set aside when all that it starts fails, and tried again", () => {
    const b = built(["w"], [step({ count: 3 })], { maxAttempts: 9 });
    b.report("v");
    b.report("u");
    b.starts();
    for (const index of [0, 1, 2]) b.end("w", `j.0.0.${index}`, 1, "failed");
    b.tick();
    expect(b.starts().every((start) => !start.endsWith("@w"))).to.equal(true);
    expect(b.cell.worker("w" as NodeId).asideUntilMs).to.be.greaterThan(
      b.nowMs,
    );
  });

  it("has runs without progress stopped", () => {
    const b = built(["w"], [step()]);
    b.report("w", { running: b.runningOn("w") });
    b.tick(1_999);
    expect(b.stops()).to.eql([]);
    b.tick(1);
    expect(b.stops()).to.eql(["j.0.0.0#1@w"]);
  });
});

describe("placement keeps", () => {
  const label = step({ label: "b" });
  const cases = [
    { name: "labels", steps: [label], starts: 0 },
    {
      name: "distance",
      steps: [step({ count: 3, mostPerWorker: 1 })],
      starts: 2,
    },
    {
      name: "gangs whole",
      steps: [step({ count: 9, isGang: true })],
      starts: 0,
    },
    {
      name: "memory of fillers",
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
      expect(built(["w", "v"], steps).starts()).to.have.length(starts);
    });
  }

  it("an idle job from waiting for ever for a gentle place", () => {
    const b = built(["w"], [
      step({ isService: true, image: "s", targetLatencyMs: 10 }),
    ]);
    b.starts();
    for (let sample = 0; sample < 20; sample++) {
      b.cell.pressure.learn("s", "j", 4, new Map([["f", 0.1]]));
    }
    b.submit("k", [step({ count: 3, isFiller: true, image: "f" })]);
    b.tick();
    expect(b.starts()).to.eql([]);
    b.tick(1_800);
    expect(b.starts()).to.eql(["k.0.0.0#1@w"]);
  });
});

describe("a filler", () => {
  it("leaves the worker where other images fit as well to those", () => {
    const b = new CellBuilder();
    for (const node of ["open", "closed"]) b.report(node);
    b.cell.worker("closed" as NodeId).closedness = 0.8;
    b.submit("j", [step({ isFiller: true, image: "f" })]);
    b.tick();
    expect(b.starts()).to.eql(["j.0.0.0#1@closed"]);
  });
});

describe("a queue with a policy", () => {
  function advised(): CellBuilder {
    const b = new CellBuilder();
    const advice = { decideMs: 50, perWorkerMs: 5, validMs: 10_000 };
    b.cell.queues.set("q", { ...b.cell.queues.get("q")!, advice });
    b.report("w");
    b.report("v");
    b.submit("j", [step()]);
    b.tick();
    return b;
  }

  it("asks before it starts anything, and once", () => {
    const b = advised();
    b.tick(100);
    expect(b.starts()).to.eql([]);
    const asked = b.effects.filter(({ kind }) => kind === "ask");
    expect(asked).to.eql([
      { kind: "ask", step: "j.0.0", lives: ["w@1", "v@1"] },
    ]);
  });

  it("starts where it may, with the ticket", () => {
    const b = advised();
    b.cell.advice.answered("j.0.0", new Map([["v@1" as RunnerLife, "t1"]]));
    b.tick();
    const [order] = b.orders();
    expect([order?.task, order?.life, order?.ticket]).to.eql([
      "j.0.0.0",
      "v@1",
      "t1",
    ]);
  });

  it("asks again where a ticket was refused", () => {
    const b = advised();
    b.cell.advice.answered("j.0.0", new Map([["v@1" as RunnerLife, "t1"]]));
    b.tick();
    b.effects = [];
    const name = "j.0.0.0" as TaskName;
    b.run(b.cell.refused("v" as NodeId, name, 1, "ticket", b.nowMs));
    b.tick();
    expect(b.effects.some(({ kind }) => kind === "ask")).to.equal(true);
  });
});

describe("a job's row", () => {
  const cases: { name: string; prepare: (b: CellBuilder) => void }[] = [
    { name: "untouched", prepare: () => {} },
    { name: "running", prepare: (b) => b.report("w") },
    {
      name: "partly done",
      prepare: (b) => {
        b.report("w");
        b.tick();
        b.end("w", "j.0.0.0", 1, "done");
        b.end("w", "j.0.0.1", 1, "failed", "c9");
      },
    },
  ];
  for (const { name, prepare } of cases) {
    it(`brings a job back that is ${name}`, () => {
      const b = new CellBuilder();
      b.submit("j", [step({ count: 3 }), step({ after: [0] })]);
      prepare(b);
      b.tick();
      const job = b.cell.jobs.get("j" as JobId)!;
      const row = JSON.parse(JSON.stringify(encodeJob(job))) as JobRow;
      const back = decodeJob(job.definition, row, b.nowMs);
      expect(encodeJob(back)).to.eql(encodeJob(job));
      expect(back.state).to.equal(job.state);
    });
  }

  it("lets a new keeper adopt what runs", () => {
    const b = built(["w"], [step()]);
    const job = b.cell.jobs.get("j" as JobId)!;
    const next = new CellBuilder();
    next.cell.load(decodeJob(job.definition, encodeJob(job), 0));
    next.report("w", { running: b.runningOn("w") });
    next.tick();
    expect([next.starts(), next.stops()]).to.eql([[], []]);
    next.end("w", "j.0.0.0", 1, "done");
    expect(next.state("j")).to.equal("completed");
  });
});

describe("a cancelled job", () => {
  it("is not started again by a new keeper, but stopped", () => {
    const b = built(["w"], [step()]);
    b.run(b.cell.cancel("j" as JobId, b.nowMs));
    const job = b.cell.jobs.get("j" as JobId)!;
    const next = new CellBuilder();
    next.cell.load(decodeJob(job.definition, encodeJob(job), 0));
    next.report("w");
    next.tick();
    expect([next.starts(), next.stops()]).to.eql([[], ["j.0.0.0#1@w"]]);
  });

  it("leaves nothing to stop once all its runs have ended", () => {
    const b = built(["w"], [step()]);
    b.run(b.cell.cancel("j" as JobId, b.nowMs));
    b.effects = [];
    b.end("w", "j.0.0.0", 1, "stopped");
    const job = b.cell.jobs.get("j" as JobId)!;
    expect(b.effects.map(({ kind }) => kind)).to.include("save");
    expect(encodeJob(job).w).to.eql([]);
  });
});

describe("a checkpoint", () => {
  it("is stored within a second, though nothing else changes", () => {
    const b = built(["w"], [step({ savesProgress: true })]);
    b.tick(1_000);
    b.effects = [];
    const running = b.runningOn("w").map((run) => ({
      ...run,
      checkpoint: "c1",
    }));
    b.report("w", { running });
    b.tick(1_000);
    const job = b.cell.jobs.get("j" as JobId)!;
    expect(b.effects.map(({ kind }) => kind)).to.eql(["save"]);
    expect(JSON.stringify(encodeJob(job))).to.include("c1");
  });
});
