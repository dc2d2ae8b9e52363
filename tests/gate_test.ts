import { expect } from "chai";
import type { StartCommand } from "../src/core/cell/start_command.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import type { PeerMessage } from "../src/link/peer_message.ts";
import { GateFixture } from "./gate_fixture.ts";

describe("a gate applies a start once", () => {
  const cases = [
    { name: "nothing fails", faults: [], starts: 1 },
    { name: "the answer is lost", faults: ["lost"], starts: 1 },
    {
      name: "the command is lost twice",
      faults: ["ignored", "ignored"],
      starts: 1,
    },
    { name: "it is applied late", faults: ["late"], starts: 1 },
  ] as const;
  for (const { name, faults, starts } of cases) {
    it(`if ${name}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.runner.faults.push(...faults);
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_500);
      fixture.runner.applyDelayed();
      await fixture.clock.advance(1_000);
      expect(fixture.runner.startCount).to.equal(starts);
      expect(fixture.lastReport()?.running.map(({ task }) => task)).to.eql([
        "j.0.0.0",
      ]);
      expect(fixture.refusals()).to.eql([]);
      fixture.gate.stop();
    });
  }

  it("and reports no refusal of a run that was listed and ended", async () => {
    // The runner refuses the retry of a start once the run has ended. A poll
    // between the unanswered first call and the retry may have listed the run,
    // so the offsets cover a whole poll interval.
    for (let offsetMs = 0; offsetMs < 410; offsetMs += 5) {
      const fixture = new GateFixture();
      await fixture.start();
      await fixture.clock.advance(offsetMs);
      fixture.runner.faults.push("lost");
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(428);
      fixture.runner.end("j.0.0.0", "done");
      await fixture.clock.advance(1_000);
      expect(fixture.refusals(), `${offsetMs}`).to.eql([]);
      expect(fixture.lastReport()?.ends.map(({ outcome }) => outcome)).to.eql([
        "done",
      ]);
      fixture.gate.stop();
    }
  }).timeout(10_000);

  it("and reports no refusal of a start repeated after the end", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(100);
    fixture.runner.end("j.0.0.0", "done");
    await fixture.clock.advance(1_000);
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(1_000);
    expect(fixture.refusals()).to.eql([]);
    expect(fixture.runner.startCount).to.equal(1);
    fixture.gate.stop();
  });

  it("and resolves an unanswered start in the runner's next life", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("ignored");
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(50);
    fixture.runner.restart();
    fixture.runner.faults.push("ignored");
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(430);
    expect(fixture.lastReport()?.unsettled).to.eql(["j.0.0.0#1"]);
    await fixture.clock.advance(1_500);
    expect(fixture.runner.startCount).to.equal(0);
    expect(fixture.refusals()).to.eql(["j.0.0.0#1 old"]);
    expect(fixture.lastReport()?.unsettled).to.eql([]);
    fixture.gate.stop();
  });

  it("and does not repeat one that crashes the runner in its next lives", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { runner } = fixture;
    runner.observer = { onStarted: () => runner.restart() };
    runner.faults.push(...Array<"lost">(20).fill("lost"));
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(5_000);
    expect(runner.startCount).to.equal(1);
    fixture.gate.stop();
  });

  const restarts = [
    { name: "after the crash", isListed: false, isUnknown: true },
    { name: "before the crash", isListed: true, isUnknown: false },
  ];
  for (const { name, isListed, isUnknown } of restarts) {
    it(`and tells what a sidecar restarted ${name} knows of it`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(100);
      fixture.restartSidecar();
      if (isListed) {
        fixture.sendHeartbeat(2);
        await fixture.clock.advance(100);
      }
      fixture.runner.restart();
      fixture.sendHeartbeat(1);
      await fixture.clock.advance(100);
      expect(fixture.lastReport()?.isLifeBeforeUnknown).to.equal(isUnknown);
      fixture.gate.stop();
    });
  }

  it("and a stop that overtakes a late start prevents the run", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("late");
    const command = fixture.startCommand();
    fixture.sendStarts(command);
    fixture.sendStop(command);
    await fixture.clock.advance(1_500);
    fixture.runner.applyDelayed();
    await fixture.clock.advance(500);
    expect([...fixture.runner.running.keys()]).to.eql([]);
    expect(fixture.refusals()).to.eql(["j.0.0.0#1 old"]);
    fixture.gate.stop();
  });
});

describe("a gate refuses", () => {
  const big = { cpuMilli: 5_000, memoryBytes: 1, accelerators: 0 };
  const cases: {
    name: string;
    change: Partial<StartCommand>;
    isDraining?: boolean;
    refusal: string;
  }[] = [
    {
      name: "a start that does not fit",
      change: { resources: big },
      refusal: "no_room",
    },
    {
      name: "a start for another life",
      change: { life: "i-1@1" as RunnerLife },
      refusal: "other_life",
    },
    {
      name: "all starts while its runner drains",
      change: {},
      isDraining: true,
      refusal: "draining",
    },
  ];
  for (const { name, change, isDraining, refusal } of cases) {
    it(name, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      if (isDraining === true) fixture.sendHeartbeat(2, true);
      fixture.sendStarts(fixture.startCommand(change));
      await fixture.clock.advance(500);
      expect(fixture.refusals()).to.eql([`j.0.0.0#1 ${refusal}`]);
      expect(fixture.runner.startCount).to.equal(0);
      fixture.gate.stop();
    });
  }

  it("starts while the runner has a run of unknown size", async () => {
    const fixture = new GateFixture();
    fixture.runner.running.set("k.0.0.0" as TaskName, {
      task: "k.0.0.0" as TaskName,
      run: 3,
      checkpoint: "",
      percent: 0,
      figure: 0,
      pace: 100,
    });
    fixture.runner.leaseEndClockMs = 60_000;
    await fixture.start();
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(100);
    expect(fixture.refusals()).to.eql(["j.0.0.0#1 no_room"]);
    expect(fixture.lastReport()?.unexplained).to.equal(1);
    const known = fixture.startCommand({ task: "k.0.0.0" as TaskName, run: 3 });
    fixture.gate.handleMessage({ kind: "known", runs: [known] });
    fixture.sendStarts(fixture.startCommand({ run: 2 }));
    await fixture.clock.advance(600);
    expect(fixture.runner.startCount).to.equal(1);
    fixture.gate.stop();
  });

  it("keepers of a lower epoch than it has seen", () => {
    const fixture = new GateFixture();
    expect(fixture.gate.attachKeeper(5, () => {})).to.equal(true);
    expect(fixture.gate.attachKeeper(4, () => {})).to.equal(false);
  });
});

describe("a gate whose keeper reconnects", () => {
  const cases = [
    { name: "before the old connection closes", pauseMs: 0 },
    { name: "and the old one closes after its poll", pauseMs: 1_000 },
  ];
  for (const { name, pauseMs } of cases) {
    it(`reports on the new connection, ${name}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      const onOld: PeerMessage[] = [];
      const onNew: PeerMessage[] = [];
      const oldSend = (message: PeerMessage) => void onOld.push(message);
      fixture.gate.attachKeeper(2, oldSend);
      await fixture.clock.advance(pauseMs);
      fixture.gate.attachKeeper(2, (message) => void onNew.push(message));
      fixture.gate.detachKeeper(oldSend);
      await fixture.clock.advance(10);
      const before = onOld.length;
      await fixture.clock.advance(2_000);
      expect(onNew.filter(({ kind }) => kind === "report")).to.not.eql([]);
      expect(onOld.length).to.equal(before);
      fixture.gate.stop();
    });
  }

  it("keeps reporting when the old connection closes much later", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const onNew: PeerMessage[] = [];
    const oldSend = () => {};
    fixture.gate.attachKeeper(2, oldSend);
    fixture.gate.attachKeeper(2, (message) => void onNew.push(message));
    await fixture.clock.advance(1_000);
    fixture.gate.detachKeeper(oldSend);
    const before = onNew.length;
    await fixture.clock.advance(1_000);
    expect(onNew.length).to.be.above(before);
    fixture.gate.stop();
  });
});

describe("a gate holds its runner's lease", () => {
  for (const rate of [1, 0.98]) {
    it(`while its keeper renews it, on a clock at ${rate}`, async () => {
      const fixture = new GateFixture(rate);
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(20_000);
      expect(fixture.runner.running.size).to.equal(1);
      fixture.gate.stop();
    });

    it(`no longer than granted by the last renewal, at ${rate}`, async () => {
      const fixture = new GateFixture(rate);
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_000);
      fixture.isRenewing = false;
      await fixture.clock.advance(GateFixture.maxHoldMs / 0.98 + 500);
      expect(fixture.runner.running.size).to.equal(0);
      expect(fixture.lastReport()?.ends.map(({ outcome }) => outcome)).to.eql([
        "lapsed",
      ]);
      fixture.gate.stop();
    });
  }

  it("and reports it as lapsed only once it certainly is", async () => {
    const fixture = new GateFixture(0.98);
    await fixture.start();
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(1_000);
    fixture.runner.isSilent = true;
    await fixture.clock.advance(3_000);
    expect(fixture.lastReport()?.isUp).to.equal(false);
    expect(fixture.lastReport()?.isLapsed).to.equal(false);
    await fixture.clock.advance(5_000);
    expect(fixture.lastReport()?.isLapsed).to.equal(true);
    expect(fixture.runner.clockMs).to.be.greaterThan(
      fixture.runner.leaseEndClockMs,
    );
    fixture.gate.stop();
  });

  it("and a new process reports no silent runner as lapsed", async () => {
    const fixture = new GateFixture();
    fixture.runner.isSilent = true;
    await fixture.start();
    await fixture.clock.advance(2_000);
    expect(fixture.lastReport()?.isLapsed).to.equal(false);
    fixture.gate.stop();
  });
});

describe("a gate distinguishes the lives of its runner", () => {
  it("and forgets the runs of an earlier one", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(500);
    const earlier = { ...fixture.runner, bornMs: fixture.runner.bornMs };
    fixture.runner.restart();
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.life).to.equal(`i-1@${fixture.runner.bornMs}`);
    expect(fixture.lastReport()?.running).to.eql([]);
    expect(earlier.bornMs).to.be.lessThan(fixture.runner.bornMs);
    fixture.gate.stop();
  });

  it("and reports a next one before it refuses what the earlier one left", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.runner.faults.push("ignored");
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(50);
    fixture.runner.restart();
    fixture.sendHeartbeat(1);
    await fixture.clock.advance(2_000);
    const life = `i-1@${fixture.runner.bornMs}`;
    const kinds = fixture.sent.flatMap((message) =>
      message.kind === "refused" ||
        (message.kind === "report" && message.report.life === life)
        ? [message.kind]
        : []
    );
    expect(kinds[0]).to.equal("report");
    expect(kinds).to.include("refused");
    fixture.gate.stop();
  });

  it("and ignores a late heartbeat of an earlier one", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    const { bornMs } = fixture.runner;
    fixture.runner.restart();
    fixture.sendHeartbeat(1);
    const newBornMs = fixture.runner.bornMs;
    fixture.runner.bornMs = bornMs;
    fixture.sendHeartbeat(9, true);
    fixture.runner.bornMs = newBornMs;
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.life).to.equal(`i-1@${newBornMs}`);
    expect(fixture.lastReport()?.isDraining).to.equal(false);
    fixture.gate.stop();
  });
});

// Guards against a heartbeat of another program that costs a runner its work.
describe("a gate believes a heartbeat of another life", () => {
  const cases: {
    name: string;
    changed: { bornMs?: number; instance?: string };
    isRestarted: boolean;
    isSilent?: boolean;
    isBelieved: boolean;
  }[] = [
    {
      name: "not while the known life answers",
      changed: { bornMs: 99_000 },
      isRestarted: false,
      isBelieved: false,
    },
    {
      name: "not of another instance while the known one answers",
      changed: { bornMs: 99_000, instance: "stranger" },
      isRestarted: false,
      isBelieved: false,
    },
    {
      name: "once that life answers",
      changed: {},
      isRestarted: true,
      isBelieved: true,
    },
    {
      name: "once the known life has been silent",
      changed: { bornMs: 99_000 },
      isRestarted: false,
      isSilent: true,
      isBelieved: true,
    },
  ];
  for (const { name, changed, isRestarted, isSilent, isBelieved } of cases) {
    it(name, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(500);
      const known = fixture.lastReport()?.life;
      if (isRestarted) fixture.runner.restart();
      if (isSilent === true) {
        fixture.runner.isSilent = true;
        await fixture.clock.advance(2_000);
      }
      fixture.sendHeartbeat(50, false, 4_000, changed);
      await fixture.clock.advance(1_000);
      expect(fixture.lastReport()?.life === known).to.equal(!isBelieved);
      if (!isBelieved) {
        expect(fixture.lastReport()?.running).to.have.length(1);
        expect(fixture.lastReport()?.isUp).to.equal(true);
      }
      fixture.gate.stop();
    });
  }

  it("of an earlier life, if only that one answers", async () => {
    const fixture = new GateFixture();
    fixture.sendHeartbeat(1, false, 4_000, { bornMs: 99_000 });
    await fixture.start();
    fixture.sendHeartbeat(7);
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.life).to.equal(`i-1@${fixture.runner.bornMs}`);
    expect(fixture.lastReport()?.isUp).to.equal(true);
    fixture.gate.stop();
  });

  it("and outvotes a sequence number that only one heartbeat had", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.sendHeartbeat(Number.MAX_SAFE_INTEGER);
    for (const sequence of [3, 4, 5, 6]) {
      fixture.sendHeartbeat(sequence, false, 2_000);
    }
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.capacity.cpuMilli).to.equal(2_000);
    fixture.gate.stop();
  });
});

describe("a gate that polls a next life before its heartbeat", () => {
  const cases = [
    { name: "after a poll that this life answered", silentMs: 0 },
    { name: "after polls without answer", silentMs: 900 },
  ];
  for (const { name, silentMs } of cases) {
    it(`lets it forget no end, ${name}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(500);
      fixture.runner.end("j.0.0.0", "done");
      await fixture.clock.advance(500);
      const { life } = fixture.lastReport()!;
      fixture.gate.handleMessage({ kind: "forget", life, end: 1 });
      await fixture.clock.advance(500);
      fixture.runner.isSilent = silentMs > 0;
      await fixture.clock.advance(silentMs);
      fixture.runner.restart();
      fixture.runner.isSilent = false;
      // A start that was sent to the earlier life runs in this one, and ends.
      fixture.sendStarts(fixture.startCommand({ life, run: 2 }));
      await fixture.clock.advance(20);
      fixture.runner.end("j.0.0.0", "done");
      await fixture.clock.advance(1_500);
      expect(fixture.runner.ends.map(({ run }) => run)).to.eql([2]);
      fixture.sendHeartbeat(1);
      await fixture.clock.advance(1_000);
      expect(fixture.lastReport()?.ends.map(({ run }) => run)).to.eql([2]);
      fixture.gate.stop();
    });
  }
});

describe("a gate whose poll goes unanswered", () => {
  const cases = [
    { silentMs: 300, isUp: true },
    { silentMs: 2_500, isUp: false },
  ];
  for (const { silentMs, isUp } of cases) {
    it(`for ${silentMs} ms: runner is ${isUp ? "up" : "down"}`, async () => {
      const fixture = new GateFixture();
      await fixture.start();
      fixture.runner.isSilent = true;
      await fixture.clock.advance(silentMs);
      fixture.runner.isSilent = !isUp;
      await fixture.clock.advance(700);
      expect(fixture.lastReport()?.isUp).to.equal(isUp);
      const downReports = fixture.sent.filter((message) =>
        message.kind === "report" && !message.report.isUp
      );
      expect(downReports.length > 0).to.equal(!isUp);
      fixture.gate.stop();
    });
  }
});

describe("a gate reports ends until they are stored", () => {
  it("in every report, and not afterwards", async () => {
    const fixture = new GateFixture();
    await fixture.start();
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(500);
    fixture.runner.end("j.0.0.0", "done");
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.ends.map(({ number }) => number)).to.eql([1]);
    const life = fixture.lastReport()!.life;
    fixture.gate.handleMessage({ kind: "forget", life, end: 1 });
    await fixture.clock.advance(1_000);
    expect(fixture.lastReport()?.ends).to.eql([]);
    expect(fixture.runner.ends).to.eql([]);
    fixture.gate.stop();
  });
});
