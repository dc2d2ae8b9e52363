import { expect } from "chai";
import { decodeHold } from "../platform/decode_hold.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const { step } = CellFixture;
const tasks = ["j.0.0.0", "j.0.0.1", "j.0.0.2", "j.0.0.3"] as TaskName[];
const small = { cpuMilli: 10, memoryBytes: 1, accelerators: 0 };

/** A gate whose runner has more ends than it lists; nobody forgets them. */
async function gateWithManyEnds(): Promise<GateFixture> {
  const fixture = new GateFixture();
  fixture.runner.endsPerAnswer = 2;
  await fixture.start();
  fixture.sendStarts(...startsOf(fixture));
  await fixture.clock.advance(200);
  expect(fixture.runner.startCount).to.equal(tasks.length);
  for (const task of tasks) fixture.runner.end(task, "done");
  return fixture;
}

function startsOf(fixture: GateFixture) {
  return tasks.map((task) => fixture.startCommand({ task, resources: small }));
}

/** Lets the gate's runner forget the ends that have been reported. */
async function forgetReported(fixture: GateFixture): Promise<void> {
  const { instance, bornMs } = fixture.runner;
  const end = fixture.lastReport()!.ends.at(-1)?.number ?? 0;
  const life = `${instance}@${bornMs}` as never;
  fixture.gate.handleMessage({ kind: "forget", life, end });
  await fixture.clock.advance(500);
}

// Guards against runs that are taken as never started, and started again, since
// their ends lie beyond those that the runner lists in one answer.
describe("a run of which the end is not listed yet", () => {
  const commands = [
    {
      name: "a start arrives before any lease is renewed",
      waitMs: 0,
      send: (fixture: GateFixture) => fixture.sendStarts(...startsOf(fixture)),
    },
    {
      name: "a start arrives later",
      waitMs: 1_500,
      send: (fixture: GateFixture) => fixture.sendStarts(...startsOf(fixture)),
    },
    {
      name: "a stop arrives",
      waitMs: 1_500,
      send: (fixture: GateFixture) => {
        for (const start of startsOf(fixture)) fixture.sendStop(start);
      },
    },
  ];
  for (const { name, waitMs, send } of commands) {
    it(`is not refused by a next process of the sidecar if ${name}`, async () => {
      const fixture = await gateWithManyEnds();
      fixture.restartSidecar();
      await fixture.clock.advance(waitMs);
      send(fixture);
      await fixture.clock.advance(1_000);
      expect(fixture.refusals()).to.eql([]);
      expect(fixture.lastReport()!.hasMoreEnds).to.equal(true);
      const seen = new Set<string>();
      for (let round = 0; round < 4; round++) {
        const { ends } = fixture.lastReport()!;
        for (const { task, outcome } of ends) seen.add(`${task} ${outcome}`);
        await forgetReported(fixture);
      }
      expect([...seen]).to.eql(tasks.map((task) => `${task} done`));
      expect(fixture.lastReport()!.hasMoreEnds).to.equal(false);
      expect(fixture.lastReport()!.unsettled).to.eql([]);
      expect(fixture.refusals()).to.eql([]);
      expect(fixture.runner.startCount).to.equal(tasks.length);
      fixture.gate.stop();
    });
  }

  const reports = [
    { name: "not started again", hasMoreEnds: true, resent: [] },
    {
      name: "started again once all are",
      hasMoreEnds: false,
      resent: ["j.0.0.1"],
    },
  ];
  for (const { name, hasMoreEnds, resent } of reports) {
    it(`is ${name} by its keeper`, () => {
      const fixture = new CellFixture();
      fixture.reportWorker("w");
      fixture.submit("j", [step({ count: 2, resources: small })]);
      fixture.advance();
      fixture.reportWorker("w", { running: fixture.runningOn("w") });
      fixture.advance(1_600);
      fixture.effects.length = 0;
      const running = fixture.runningOn("w", "j.0.0.1");
      fixture.reportWorker("w", { running, hasMoreEnds });
      const starts = fixture.effects.flatMap((effect) =>
        effect.kind === "start" ? [effect.command.task] : []
      );
      expect(starts).to.eql(resent);
    });
  }

  it("keeps the claim of an earlier life, in which it may have ended", () => {
    const fixture = new CellFixture();
    fixture.reportWorker("w");
    fixture.submit("j", [step({ resources: small })]);
    fixture.advance();
    const life = "w@2" as never;
    fixture.reportWorker("w", { life, hasMoreEnds: true });
    expect(fixture.runsOn("w").length).to.equal(1);
    fixture.reportWorker("w", { life, hasMoreEnds: false });
    expect(fixture.runsOn("w").length).to.equal(0);
  });
});

// Guards against ends of a next life that a poll for the life before forgets.
describe("a poll that lets ends be forgotten", () => {
  it("does not wait for further ones", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { clock, gate, runner } = fixture;
    const waits: number[] = [];
    const hold = runner.hold.bind(runner);
    runner.hold = (command) => {
      if (command.forgetUpTo > 0) waits.push(command.waitMs);
      return hold(command);
    };
    fixture.sendStarts(fixture.startCommand());
    await clock.advance(1_000);
    runner.end("j.0.0.0", "done");
    await clock.advance(100);
    const { instance, bornMs } = runner;
    const life = `${instance}@${bornMs}` as never;
    gate.handleMessage({ kind: "forget", life, end: 1 });
    await clock.advance(1_000);
    expect(runner.ends).to.eql([]);
    expect(waits).to.eql([0]);
    gate.stop();
  });
});

describe("a runner's list of ends", () => {
  const end = (number: number) => [number, `j.0.0.${number}`, 1, "done", ""];
  const cases = [
    { count: 0, hasAllEnds: true },
    { count: 499, hasAllEnds: true },
    { count: 500, hasAllEnds: false },
  ];
  for (const { count, hasAllEnds } of cases) {
    it(`of ${count} ${hasAllEnds ? "has all" : "may lack some"}`, () => {
      const ended = Array.from({ length: count }, (_, index) => end(index + 1));
      const answer = { clockMs: 1, running: [], ended };
      expect(decodeHold(answer)?.hasAllEnds).to.equal(hasAllEnds);
    });
  }
});
