import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import type { StartOrder } from "../src/core/cell/start_order.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { Gate } from "../src/gate/gate.ts";
import type { MemberMessage } from "../src/link/member_message.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { RunnerModel } from "../stand_ins/runner/runner_model.ts";

const maxHoldMs = 6_000;
const bytesPerMb = 1_048_576;

/** A gate beside a model of a runner, and a keeper that answers its reports. */
class Fixture {
  readonly clock = new VirtualClock();
  readonly runner: RunnerModel;
  readonly gate: Gate;
  readonly sent: MemberMessage[] = [];
  isRenewing = true;

  constructor(rate = 1) {
    this.runner = new RunnerModel(this.clock, rate);
    const log = new Logger("silent", {});
    this.gate = new Gate(this.runner, maxHoldMs, this.clock, log);
  }

  async start(): Promise<void> {
    this.beat(1);
    this.gate.attach(1, (message) => this.#heard(message));
    void this.gate.run();
    await this.clock.advance(1_500);
  }

  beat(sequence: number, isDraining = false): void {
    const { instance, bornMs } = this.runner;
    this.gate.heartbeat({
      instance,
      bornMs,
      pool: "pool",
      zone: "z",
      rack: "r1",
      labels: ["a", "r1"],
      capacity: {
        cpuMilli: 4_000,
        memoryBytes: 1_000 * bytesPerMb,
        accelerators: 0,
      },
      isDraining,
      sequence,
    });
  }

  order(change: Partial<StartOrder> = {}): StartOrder {
    const { instance, bornMs } = this.runner;
    return {
      kind: "start",
      task: "j.0.0.0" as TaskName,
      run: 1,
      life: `${instance}@${bornMs}` as RunnerLife,
      payload: "p",
      checkpoint: "",
      ticket: undefined,
      resources: {
        cpuMilli: 1_000,
        memoryBytes: 100 * bytesPerMb,
        accelerators: 0,
      },
      isService: false,
      isFiller: false,
      image: undefined,
      targetLatencyMs: 0,
      ...change,
    };
  }

  give(...starts: StartOrder[]): void {
    this.gate.take({ kind: "orders", starts, stops: [] });
  }

  withdraw(order: StartOrder): void {
    this.gate.take({ kind: "orders", starts: [], stops: [order] });
  }

  refusals(): string[] {
    return this.sent.flatMap((message) =>
      message.kind === "refused"
        ? [`${message.task}#${message.run} ${message.reason}`]
        : []
    );
  }

  /** The newest report. */
  report(): Extract<MemberMessage, { kind: "report" }>["report"] | undefined {
    const reports = this.sent.flatMap((message) =>
      message.kind === "report" ? [message.report] : []
    );
    return reports.at(-1);
  }

  #heard(message: MemberMessage): void {
    this.sent.push(message);
    if (message.kind !== "report" || !this.isRenewing) return;
    const { number: report } = message;
    this.gate.take({ kind: "renew", report, pressures: [] });
  }
}

describe("a gate carries orders out once", () => {
  const cases = [
    { name: "all goes well", faults: [], starts: 1 },
    { name: "the answer is lost", faults: ["lost"], starts: 1 },
    {
      name: "the order is lost twice",
      faults: ["ignored", "ignored"],
      starts: 1,
    },
    { name: "it is carried out late", faults: ["late"], starts: 1 },
  ] as const;
  for (const { name, faults, starts } of cases) {
    it(`where ${name}`, async () => {
      const f = new Fixture();
      await f.start();
      f.runner.faults.push(...faults);
      f.give(f.order());
      await f.clock.advance(1_500);
      f.runner.carryOutLate();
      await f.clock.advance(1_000);
      expect(f.runner.starts).to.equal(starts);
      expect(f.report()?.running.map(({ task }) => task)).to.eql(["j.0.0.0"]);
      expect(f.refusals()).to.eql([]);
      f.gate.stop();
    });
  }

  it("and calls a run that was seen and has ended no start refused", async () => {
    // Whenever a look falls: it may show the run between the first call, which
    // got no answer, and the second, by which the run has ended.
    for (let offsetMs = 0; offsetMs < 410; offsetMs += 5) {
      const f = new Fixture();
      await f.start();
      await f.clock.advance(offsetMs);
      f.runner.faults.push("lost");
      f.give(f.order());
      await f.clock.advance(428);
      f.runner.end("j.0.0.0", "done");
      await f.clock.advance(1_000);
      expect(f.refusals(), `${offsetMs}`).to.eql([]);
      expect(f.report()?.ends.map(({ outcome }) => outcome)).to.eql(["done"]);
      f.gate.stop();
    }
  }).timeout(10_000);

  it("and calls a run that has ended refused in no repeat of its start", async () => {
    const f = new Fixture();
    await f.start();
    f.give(f.order());
    await f.clock.advance(100);
    f.runner.end("j.0.0.0", "done");
    await f.clock.advance(1_000);
    f.give(f.order());
    await f.clock.advance(1_000);
    expect(f.refusals()).to.eql([]);
    expect(f.runner.starts).to.equal(1);
    f.gate.stop();
  });

  it("and settles a start without answer in the runner's next life", async () => {
    const f = new Fixture();
    await f.start();
    f.runner.faults.push("ignored");
    f.give(f.order());
    await f.clock.advance(50);
    f.runner.reborn();
    f.runner.faults.push("ignored");
    f.beat(1);
    await f.clock.advance(430);
    expect(f.report()?.unsettled).to.eql(["j.0.0.0#1"]);
    await f.clock.advance(1_500);
    expect(f.runner.starts).to.equal(0);
    expect(f.refusals()).to.eql(["j.0.0.0#1 old"]);
    expect(f.report()?.unsettled).to.eql([]);
    f.gate.stop();
  });

  it("and a stop that overtakes a late start keeps it from running", async () => {
    const f = new Fixture();
    await f.start();
    f.runner.faults.push("late");
    const order = f.order();
    f.give(order);
    f.withdraw(order);
    await f.clock.advance(1_500);
    f.runner.carryOutLate();
    await f.clock.advance(500);
    expect([...f.runner.running.keys()]).to.eql([]);
    expect(f.refusals()).to.eql(["j.0.0.0#1 old"]);
    f.gate.stop();
  });
});

describe("a gate refuses", () => {
  const big = { cpuMilli: 5_000, memoryBytes: 1, accelerators: 0 };
  const cases: {
    name: string;
    change: Partial<StartOrder>;
    isDraining?: boolean;
    refusal: string;
  }[] = [
    {
      name: "what does not fit",
      change: { resources: big },
      refusal: "no_room",
    },
    {
      name: "what was meant for another life",
      change: { life: "i-1@1" as RunnerLife },
      refusal: "other_life",
    },
    {
      name: "all while its runner drains",
      change: {},
      isDraining: true,
      refusal: "draining",
    },
  ];
  for (const { name, change, isDraining, refusal } of cases) {
    it(name, async () => {
      const f = new Fixture();
      await f.start();
      if (isDraining === true) f.beat(2, true);
      f.give(f.order(change));
      await f.clock.advance(500);
      expect(f.refusals()).to.eql([`j.0.0.0#1 ${refusal}`]);
      expect(f.runner.starts).to.equal(0);
      f.gate.stop();
    });
  }

  it("anything beside a run that nobody has explained", async () => {
    const f = new Fixture();
    f.runner.running.set("k.0.0.0" as TaskName, {
      task: "k.0.0.0" as TaskName,
      run: 3,
      checkpoint: "",
      percent: 0,
      figure: 0,
      pace: 100,
    });
    f.runner.untilClockMs = 60_000;
    await f.start();
    f.give(f.order());
    await f.clock.advance(100);
    expect(f.refusals()).to.eql(["j.0.0.0#1 no_room"]);
    expect(f.report()?.unexplained).to.equal(1);
    const known = f.order({ task: "k.0.0.0" as TaskName, run: 3 });
    f.gate.take({ kind: "known", runs: [known] });
    f.give(f.order({ run: 2 }));
    await f.clock.advance(600);
    expect(f.runner.starts).to.equal(1);
    f.gate.stop();
  });

  it("keepers of a lower epoch than it has heard", () => {
    const f = new Fixture();
    expect(f.gate.attach(5, () => {})).to.equal(true);
    expect(f.gate.attach(4, () => {})).to.equal(false);
  });
});

describe("a gate whose keeper connects anew", () => {
  const cases = [
    { name: "before the old connection is seen to close", pauseMs: 0 },
    { name: "and the old one closes after its look", pauseMs: 1_000 },
  ];
  for (const { name, pauseMs } of cases) {
    it(`reports on the new one, ${name}`, async () => {
      const f = new Fixture();
      await f.start();
      const onOld: MemberMessage[] = [];
      const onNew: MemberMessage[] = [];
      const oldSend = (message: MemberMessage) => void onOld.push(message);
      f.gate.attach(2, oldSend);
      await f.clock.advance(pauseMs);
      f.gate.attach(2, (message) => void onNew.push(message));
      f.gate.detach(oldSend);
      await f.clock.advance(10);
      const before = onOld.length;
      await f.clock.advance(2_000);
      expect(onNew.filter(({ kind }) => kind === "report")).to.not.eql([]);
      expect(onOld.length).to.equal(before);
      f.gate.stop();
    });
  }

  it("reports on the new one though the old one closes much later", async () => {
    const f = new Fixture();
    await f.start();
    const onNew: MemberMessage[] = [];
    const oldSend = () => {};
    f.gate.attach(2, oldSend);
    f.gate.attach(2, (message) => void onNew.push(message));
    await f.clock.advance(1_000);
    f.gate.detach(oldSend);
    const before = onNew.length;
    await f.clock.advance(1_000);
    expect(onNew.length).to.be.above(before);
    f.gate.stop();
  });
});

describe("a gate holds its runner's lease", () => {
  for (const rate of [1, 0.98]) {
    it(`while its keeper renews it, on a clock at ${rate}`, async () => {
      const f = new Fixture(rate);
      await f.start();
      f.give(f.order());
      await f.clock.advance(20_000);
      expect(f.runner.running.size).to.equal(1);
      f.gate.stop();
    });

    it(`no longer than that after the last renewal, at ${rate}`, async () => {
      const f = new Fixture(rate);
      await f.start();
      f.give(f.order());
      await f.clock.advance(1_000);
      f.isRenewing = false;
      await f.clock.advance(maxHoldMs / 0.98 + 500);
      expect(f.runner.running.size).to.equal(0);
      expect(f.report()?.ends.map(({ outcome }) => outcome)).to.eql([
        "lapsed",
      ]);
      f.gate.stop();
    });
  }

  it("and tells that it lapsed only once it surely has", async () => {
    const f = new Fixture(0.98);
    await f.start();
    f.give(f.order());
    await f.clock.advance(1_000);
    f.runner.isSilent = true;
    await f.clock.advance(3_000);
    expect(f.report()?.isUp).to.equal(false);
    expect(f.report()?.isLapsed).to.equal(false);
    await f.clock.advance(5_000);
    expect(f.report()?.isLapsed).to.equal(true);
    expect(f.runner.clockMs).to.be.greaterThan(f.runner.untilClockMs);
    f.gate.stop();
  });

  it("and a fresh process takes no silent runner for lapsed", async () => {
    const f = new Fixture();
    f.runner.isSilent = true;
    await f.start();
    await f.clock.advance(2_000);
    expect(f.report()?.isLapsed).to.equal(false);
    f.gate.stop();
  });
});

describe("a gate tells the lives of its runner apart", () => {
  it("and forgets what an earlier one ran", async () => {
    const f = new Fixture();
    await f.start();
    f.give(f.order());
    await f.clock.advance(500);
    const late = { ...f.runner, bornMs: f.runner.bornMs };
    f.runner.reborn();
    f.beat(1);
    await f.clock.advance(1_000);
    expect(f.report()?.life).to.equal(`i-1@${f.runner.bornMs}`);
    expect(f.report()?.running).to.eql([]);
    expect(late.bornMs).to.be.lessThan(f.runner.bornMs);
    f.gate.stop();
  });

  it("and a late heartbeat of an earlier one changes nothing", async () => {
    const f = new Fixture();
    await f.start();
    const { bornMs } = f.runner;
    f.runner.reborn();
    f.beat(1);
    const now = f.runner.bornMs;
    f.runner.bornMs = bornMs;
    f.beat(9, true);
    f.runner.bornMs = now;
    await f.clock.advance(1_000);
    expect(f.report()?.life).to.equal(`i-1@${now}`);
    expect(f.report()?.isDraining).to.equal(false);
    f.gate.stop();
  });
});

describe("a gate whose look goes unanswered", () => {
  const cases = [
    { silentMs: 300, isUp: true },
    { silentMs: 2_500, isUp: false },
  ];
  for (const { silentMs, isUp } of cases) {
    it(`for ${silentMs} ms takes its runner for ${isUp ? "up" : "down"}`, async () => {
      const f = new Fixture();
      await f.start();
      f.runner.isSilent = true;
      await f.clock.advance(silentMs);
      f.runner.isSilent = !isUp;
      await f.clock.advance(700);
      expect(f.report()?.isUp).to.equal(isUp);
      const downs = f.sent.filter((message) =>
        message.kind === "report" && !message.report.isUp
      );
      expect(downs.length > 0).to.equal(!isUp);
      f.gate.stop();
    });
  }
});

describe("a gate lists ends until they are stored", () => {
  it("again and again, and then no more", async () => {
    const f = new Fixture();
    await f.start();
    f.give(f.order());
    await f.clock.advance(500);
    f.runner.end("j.0.0.0", "done");
    await f.clock.advance(1_000);
    expect(f.report()?.ends.map(({ number }) => number)).to.eql([1]);
    const life = f.report()!.life;
    f.gate.take({ kind: "forget", life, end: 1 });
    await f.clock.advance(1_000);
    expect(f.report()?.ends).to.eql([]);
    expect(f.runner.ends).to.eql([]);
    f.gate.stop();
  });
});
