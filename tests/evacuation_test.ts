import { expect } from "chai";
import type { StartRefusal } from "../src/core/cell/start_refusal.ts";
import { EvacuationGuard } from "../src/core/evacuate/evacuation_guard.ts";
import { EvacuationRows } from "../src/core/evacuate/evacuation_rows.ts";
import type { EvacuationChange } from "../src/core/evacuate/evacuation_change.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import { CellFixture } from "./cell_fixture.ts";
import { GateFixture } from "./gate_fixture.ts";

const evacuateMs = 5_000;

describe("rows of the operator's stream request evacuations", () => {
  type Rows = readonly (readonly [key: string, value: string | undefined])[];
  const cases: readonly {
    readonly name: string;
    readonly rows: Rows;
    readonly zones: readonly string[];
    readonly ignored?: number;
  }[] = [
    { name: "one", rows: [["evacuate/z", "{}"]], zones: ["z"] },
    {
      name: "two at once",
      rows: [["evacuate/y", "true"], ["evacuate/z", `{"by":"ada"}`]],
      zones: ["y", "z"],
    },
    {
      name: "none after it was revoked",
      rows: [["evacuate/z", "{}"], ["evacuate/z", undefined]],
      zones: [],
    },
    {
      name: "one again",
      rows: [
        ["evacuate/z", "{}"],
        ["evacuate/z", undefined],
        ["evacuate/z", "{}"],
      ],
      zones: ["z"],
    },
    {
      name: "none by other keys",
      rows: [["config", "{}"], ["evacuates/z", "{}"], ["evacuate", "{}"]],
      zones: [],
    },
    {
      name: "none by unreadable keys",
      rows: [["evacuate/", "{}"], ["evacuate/a b", "{}"], [
        `evacuate/${"z".repeat(201)}`,
        "{}",
      ], ["evacuate/a/b", "{}"]],
      zones: [],
      ignored: 4,
    },
    {
      name: "no change by unreadable values",
      rows: [
        ["evacuate/z", "{}"],
        ["evacuate/z", "{"],
        ["evacuate/z", "null"],
        ["evacuate/y", ""],
        ["evacuate/y", "false"],
      ],
      zones: ["z"],
      ignored: 4,
    },
  ];
  for (const { name, rows, zones, ignored = 0 } of cases) {
    it(name, () => {
      const requests = new EvacuationRows();
      const changes: EvacuationChange[] = [];
      rows.forEach(([key, value], offset) =>
        changes.push(...requests.apply([{ key, value, offset }]))
      );
      expect([...requests.zones]).to.eql(zones);
      expect(changes.filter(({ kind }) => kind === "ignored"))
        .to.have.length(ignored);
    });
  }

  // The newest rows do not list a row that was deleted while a tail was behind.
  it("and one is dropped that a read of all rows lacks", () => {
    const requests = new EvacuationRows();
    const rows = ["x", "y", "z"].map((zone, offset) => ({
      key: `evacuate/${zone}`,
      value: "{}",
      offset,
    }));
    expect([...requests.apply(rows)]).to.have.length(3);
    const changes = [...requests.retain(new Set(["evacuate/y"]), 2)];
    expect(changes).to.eql([{ kind: "ended", zone: "x" }]);
    expect([...requests.zones]).to.eql(["y", "z"]);
  });
});

describe("a keeper may send starts", () => {
  const nowMs = 100_000;
  const wallMs = 1_000_000;
  const cases: readonly (readonly [
    name: string,
    sinceMs: number | undefined,
    sinceWallMs: number,
    mayStart: boolean,
  ])[] = [
    ["right after a read", 0, 0, true],
    ["until the read is 3.5 s old", 3_499, 3_499, true],
    ["but not from then on", 3_500, 3_500, false],
    ["not after its machine was suspended", 10, 6_000, false],
    ["not when the wall clock has jumped back", 6_000, -50_000, false],
    ["not before the first read", undefined, 0, false],
  ];
  for (const [name, sinceMs, sinceWallMs, mayStart] of cases) {
    it(name, () => {
      const guard = new EvacuationGuard(evacuateMs);
      const read = sinceMs === undefined ? undefined : {
        sentAtMs: nowMs - sinceMs,
        sentAtWallMs: wallMs - sinceWallMs,
      };
      expect(guard.mayStart(guard.ageMs(read, nowMs, wallMs)))
        .to.equal(mayStart);
    });
  }
});

describe("a cell whose data centre is evacuated", () => {
  const zoneOf = (node: string) => ({ zone: node[0]! });
  const report = (fixture: CellFixture, ...nodes: string[]) => {
    for (const node of nodes) {
      const running = fixture.runningOn(node);
      fixture.reportWorker(node, { ...zoneOf(node), running });
    }
  };
  const evacuate = (fixture: CellFixture, ...zones: string[]) =>
    fixture.collect(
      fixture.cell.setEvacuations(new Set(zones), fixture.nowMs),
    );

  it("places nothing there, also in relaxed mode", () => {
    const fixture = new CellFixture();
    report(fixture, "a1");
    evacuate(fixture, "a");
    fixture.submit("j", [CellFixture.step()]);
    for (let tick = 0; tick < 40; tick++) fixture.advance(100);
    expect(fixture.newStarts()).to.eql([]);
    expect(fixture.jobState("j")).to.equal("queued");
    report(fixture, "b1");
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#1@b1"]);
    evacuate(fixture);
    fixture.submit("k", [CellFixture.step({ count: 7 })]);
    fixture.advance();
    expect(fixture.newStarts().filter((start) => start.endsWith("@a1")))
      .to.have.length(4);
  });

  it("releases starts that wait for the store", () => {
    const fixture = new CellFixture();
    report(fixture, "a1");
    fixture.isStoreSlow = true;
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance();
    const [command] = fixture.newStartCommands();
    evacuate(fixture, "a");
    expect(fixture.newStops()).to.eql([]);
    expect(fixture.cell.markOrdered("a1" as NodeId, command!)).to.equal(false);
    report(fixture, "b1");
    fixture.advance();
    expect(fixture.newStarts()).to.eql(["j.0.0.0#2@b1"]);
  });

  it("stops starts that were sent, and leaves what runs", () => {
    const fixture = new CellFixture();
    report(fixture, "a1");
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance();
    report(fixture, "a1");
    fixture.submit("k", [CellFixture.step()]);
    fixture.advance();
    evacuate(fixture, "a");
    expect(fixture.newStops()).to.eql(["k.0.0.0#1@a1"]);
    expect(fixture.cell.worker("a1" as NodeId).claims.size).to.equal(2);
  });

  // A new keeper knows a worker's data centre only from its first report, and
  // would repeat the starts that the report does not list.
  it("stops starts of an earlier keeper instead of repeating them", () => {
    const fixture = new CellFixture();
    report(fixture, "a1");
    fixture.submit("j", [CellFixture.step()]);
    fixture.advance();
    fixture.newStarts();
    fixture.cell.handleDisconnect("a1" as NodeId);
    fixture.cell.worker("a1" as NodeId).report = undefined;
    evacuate(fixture, "a");
    fixture.reportWorker("a1", { zone: "a" });
    expect(fixture.newStarts()).to.eql([]);
    expect(fixture.newStops()).to.eql(["j.0.0.0#1@a1"]);
  });

  const refusals: readonly (readonly [StartRefusal, boolean])[] = [
    ["evacuated", false],
    ["unhealthy", true],
  ];
  for (const [reason, isSuspended] of refusals) {
    it(`${isSuspended ? "suspends" : "keeps"} a worker after ${reason}`, () => {
      const fixture = new CellFixture();
      report(fixture, "a1");
      fixture.submit("j", [CellFixture.step()]);
      fixture.advance();
      fixture.refuse("a1", "j.0.0.0", 1, reason);
      const { suspendedUntilMs } = fixture.cell.worker("a1" as NodeId);
      expect(suspendedUntilMs > fixture.nowMs).to.equal(isSuspended);
      const [task] = [...fixture.cell.liveJobs][0]!.tasks();
      expect(task!.avoidedWorker).to.equal(isSuspended ? "a1" : undefined);
    });
  }
});

describe("a gate in an evacuated data centre", () => {
  const setEvacuated = ({ gate }: GateFixture, isEvacuated: boolean) =>
    gate.handleMessage({ kind: "evacuated", isEvacuated });

  it("refuses starts, also without a keeper, until one revokes it", async () => {
    const fixture = new GateFixture(1, { evacuateMs });
    fixture.operatorAgeMs = 100;
    await fixture.start();
    setEvacuated(fixture, true);
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(500);
    fixture.reconnect();
    await fixture.clock.advance(1_000);
    fixture.sendStarts(fixture.startCommand({ run: 2 }));
    await fixture.clock.advance(500);
    expect(fixture.runner.startCount).to.equal(0);
    expect(new Set(fixture.refusals())).to.eql(
      new Set(["j.0.0.0#1 evacuated", "j.0.0.0#2 evacuated"]),
    );
    setEvacuated(fixture, false);
    await fixture.clock.advance(1_000);
    fixture.sendStarts(fixture.startCommand({ run: 3 }));
    await fixture.clock.advance(500);
    expect(fixture.runner.startCount).to.equal(1);
    fixture.gate.stop();
  });

  it("gives up a start that is being repeated", async () => {
    const fixture = new GateFixture(1, { evacuateMs });
    await fixture.start();
    fixture.runner.faults.push("ignored", "ignored");
    fixture.sendStarts(fixture.startCommand());
    await fixture.clock.advance(500);
    setEvacuated(fixture, true);
    await fixture.clock.advance(3_000);
    expect(fixture.runner.startCount).to.equal(0);
    expect(fixture.refusals()).to.eql(["j.0.0.0#1 evacuated"]);
    fixture.gate.stop();
  });
});

describe("a gate starts a run for a keeper", () => {
  /**
   * How old the keeper's read is, whether it goes on reading, and whether the
   * first commands get no answer, are executed late, or neither.
   */
  const cases: readonly {
    readonly name: string;
    readonly operatorAgeMs: number | undefined;
    readonly isReading?: boolean;
    readonly faults?: number;
    readonly fault?: "ignored" | "late";
    readonly evacuateMs?: number | undefined;
    readonly starts: number;
    readonly refusal?: StartRefusal;
  }[] = [
    { name: "that reads", operatorAgeMs: 100, starts: 1 },
    { name: "that read 4.6 s ago, not", operatorAgeMs: 4_600, starts: 0 },
    { name: "of an earlier version", operatorAgeMs: undefined, starts: 1 },
    {
      name: "of an earlier version, repeating it for 2.1 s",
      operatorAgeMs: undefined,
      faults: 5,
      starts: 1,
    },
    {
      name: "of an earlier version, not repeating it for longer than 2.5 s",
      operatorAgeMs: undefined,
      faults: 7,
      starts: 0,
    },
    {
      name: "that reads, not repeating it for longer than 2.5 s",
      operatorAgeMs: 100,
      faults: 7,
      starts: 0,
    },
    {
      name: "that stops reading, not repeating it beyond 4.5 s from the read",
      operatorAgeMs: 2_800,
      isReading: false,
      faults: 5,
      starts: 0,
      refusal: "late",
    },
    {
      name: "that stops reading, and no late call takes effect after 4.5 s",
      operatorAgeMs: 3_300,
      isReading: false,
      faults: 3,
      fault: "late",
      starts: 0,
    },
    {
      name: "without a limit, repeating it",
      operatorAgeMs: undefined,
      evacuateMs: undefined,
      faults: 9,
      starts: 1,
    },
  ];
  for (const each of cases) {
    it(each.name, async () => {
      const { operatorAgeMs, faults = 0, fault = "ignored" } = each;
      const fixture = new GateFixture(
        1,
        { evacuateMs: "evacuateMs" in each ? undefined : evacuateMs },
      );
      fixture.operatorAgeMs = operatorAgeMs;
      await fixture.start();
      if (each.isReading === false) fixture.stopReading();
      const commands = Array.from({ length: faults }, () => fault);
      // The stops of a start that was given up get no answer either.
      const stops = fault === "late" ? Array(9).fill("ignored" as const) : [];
      fixture.runner.faults.push(...commands, ...stops);
      fixture.sendStarts(fixture.startCommand());
      await fixture.clock.advance(1_900);
      fixture.runner.applyDelayed();
      await fixture.clock.advance(6_000);
      expect(fixture.runner.startCount).to.equal(each.starts);
      if (each.refusal !== undefined) {
        expect(fixture.refusals()).to.eql([`j.0.0.0#1 ${each.refusal}`]);
      }
      fixture.gate.stop();
    });
  }
});
