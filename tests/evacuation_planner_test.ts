import { expect } from "chai";
import { EvacuationPlanner } from "../src/core/evacuate/evacuation_planner.ts";
import type { NodeId } from "../src/core/jobs/node_id.ts";
import type { StepDefinition } from "../src/core/jobs/step_definition.ts";
import type { TaskName } from "../src/core/jobs/task_name.ts";
import { CellFixture } from "./cell_fixture.ts";

const evacuateMs = 5_000;
const planMs = 100;
const { step } = CellFixture;
const service = (change: Partial<StepDefinition> = {}) =>
  step({ isService: true, image: "s", ...change });
const filler = (change: Partial<StepDefinition> = {}) =>
  step({ isFiller: true, savesProgress: true, image: "f", ...change });

/** Workers named by data centre and number, whose runs the test reports. */
class Fleet {
  readonly fixture = new CellFixture();
  /** The progress of each task, in percent; 100 for those not named. */
  readonly percents = new Map<string, number>();

  constructor(readonly nodes: readonly string[], isPlanning = true) {
    const { cell } = this.fixture;
    if (isPlanning) cell.evacuationPlanner = new EvacuationPlanner(evacuateMs);
    this.reportAll();
  }

  reportAll(change = {}): void {
    for (const node of this.nodes) {
      const running = this.fixture.runningOn(node).map((status) => ({
        ...status,
        percent: this.percents.get(status.task) ?? 100,
      }));
      this.fixture.reportWorker(node, { zone: node[0]!, running, ...change });
    }
  }

  /** Places all jobs while only one data centre is open. */
  placeIn(zone: string, ...steps: StepDefinition[]): void {
    const zones = new Set(this.nodes.map((node) => node[0]!));
    zones.delete(zone);
    this.evacuate(...zones);
    steps.forEach((each, index) => this.fixture.submit(`j${index}`, [each]));
    this.fixture.advance();
    this.reportAll();
    this.evacuate();
    this.fixture.advance(planMs);
    this.fixture.newStarts();
    expect(this.fixture.newStops()).to.eql([]);
  }

  evacuate(...zones: string[]): void {
    const { cell, nowMs } = this.fixture;
    this.fixture.collect(cell.setEvacuations(new Set(zones), nowMs));
  }

  /** Lets the cell decide; returns the names of the tasks that it stops. */
  step(): string[] {
    this.fixture.advance(planMs);
    return this.fixture.newStops().map((stop) => stop.split("#")[0]!);
  }

  /** Ends stopped runs; new ones have made that progress. */
  carryOut(stopped: readonly string[], percent: number): void {
    for (const name of stopped) {
      const { claim, run } = this.fixture.cell.task(name as TaskName)!;
      const node = claim!.node;
      this.percents.set(name, percent);
      const running = this.fixture.runningOn(node, name);
      const change = { zone: node[0]!, running };
      this.fixture.endRun(node, name, run, "stopped", "saved", change);
    }
    this.fixture.advance();
    this.reportAll();
  }

  zonesOf(job: string): string {
    const found = [...this.fixture.cell.liveJobs]
      .find(({ definition }) => definition.id === job)!;
    return [...found.tasks()].map(({ claim }) => claim?.node[0] ?? "-").join(
      "",
    );
  }
}

describe("tasks leave an evacuated data centre", () => {
  const cases: readonly {
    readonly name: string;
    readonly steps: readonly StepDefinition[];
    readonly percent?: number;
    readonly stops: readonly string[];
  }[] = [
    {
      name: "fillers with checkpoints",
      steps: [filler()],
      stops: ["j0.0.0.0"],
    },
    {
      name: "but no fillers without",
      steps: [filler({ savesProgress: false })],
      stops: [],
    },
    {
      name: "tasks with checkpoints that run on for longer than the bound",
      steps: [step({ savesProgress: true, expectedMs: 10_001 })],
      percent: 50,
      stops: ["j0.0.0.0"],
    },
    {
      name: "but none that end sooner",
      steps: [step({ savesProgress: true, expectedMs: 9_999 })],
      percent: 50,
      stops: [],
    },
    {
      name: "but none without checkpoints",
      steps: [step({ expectedMs: 60_000 })],
      percent: 50,
      stops: [],
    },
    { name: "services", steps: [service()], stops: ["j0.0.0.0"] },
    {
      name: "fillers before services",
      steps: [service(), filler()],
      stops: ["j1.0.0.0", "j0.0.0.0"],
    },
    {
      name: "but no gangs",
      steps: [step({ isGang: true, count: 2, savesProgress: true })],
      stops: [],
    },
  ];
  for (const { name, steps, percent = 100, stops } of cases) {
    it(name, () => {
      const fleet = new Fleet(["a1", "b1", "b2"]);
      steps.forEach((_, job) => fleet.percents.set(`j${job}.0.0.0`, percent));
      fleet.placeIn("a", ...steps);
      fleet.evacuate("a");
      expect(fleet.step()).to.eql(stops);
    });
  }

  it("only where another worker has free capacity", () => {
    const fleet = new Fleet(["a1", "b1"]);
    fleet.placeIn("a", service({ count: 2, mostAway: 2 }));
    fleet.fixture.submit("full", [step({ count: 3, label: "r1" })]);
    fleet.evacuate("a");
    fleet.fixture.advance();
    fleet.reportAll();
    const stopped = fleet.step();
    expect(stopped).to.have.length(1);
    fleet.carryOut(stopped, 100);
    expect(fleet.step()).to.eql([]);
    expect([...fleet.zonesOf("j0")].sort().join("")).to.equal("ab");
  });

  it("neither to the other of two that are evacuated, nor from all", () => {
    const fleet = new Fleet(["a1", "b1", "c1"]);
    fleet.placeIn("a", service());
    fleet.evacuate("a", "b", "c");
    expect(fleet.step()).to.eql([]);
    fleet.evacuate("a", "b");
    const stopped = fleet.step();
    expect(stopped).to.eql(["j0.0.0.0"]);
    fleet.carryOut(stopped, 100);
    expect(fleet.zonesOf("j0")).to.equal("c");
  });

  it("never, if the deployment evacuates none", () => {
    const fleet = new Fleet(["a1", "b1"], false);
    fleet.placeIn("a", filler());
    fleet.evacuate("a");
    expect(fleet.step()).to.eql([]);
  });
});

describe("a service in an evacuated data centre", () => {
  for (
    const [mostAway, expected] of [[0, 1], [1, 1], [2, 2], [9, 4]] as const
  ) {
    it(`has at most ${expected} of 4 away if mostAway is ${mostAway}`, () => {
      const fleet = new Fleet(["a1", "b1", "b2", "b3", "b4", "b5"]);
      fleet.placeIn("a", service({ count: 4, mostAway }));
      fleet.evacuate("a");
      for (let moved = 0; moved < 4; moved += expected) {
        const stopped = fleet.step();
        expect(stopped).to.have.length(expected);
        expect(fleet.step()).to.eql([]);
        // A run that has started, but is not ready, is still away.
        fleet.carryOut(stopped, 99);
        expect(fleet.step()).to.eql([]);
        for (const name of stopped) fleet.percents.set(name, 100);
        fleet.reportAll();
      }
      expect(fleet.step()).to.eql([]);
      expect(fleet.zonesOf("j0")).to.equal("bbbb");
    });
  }

  it("keeps new fillers from the room that it needs", () => {
    const cases = [[false, "b"], [true, "-"]] as const;
    for (const [isEvacuated, zones] of cases) {
      const fleet = new Fleet(["a1", "b1"]);
      const { memoryBytes } = fleet.fixture.cell.worker("b1" as NodeId).free;
      const big = {
        cpuMilli: 1_000,
        memoryBytes: memoryBytes * 0.6,
        accelerators: 0,
      };
      fleet.placeIn("a", service({ resources: big }));
      // What runs at b1 leaves no room for the service until it ends.
      fleet.evacuate("a");
      fleet.fixture.submit("now", [
        step({ resources: { ...big, memoryBytes: memoryBytes * 0.5 } }),
      ]);
      if (!isEvacuated) fleet.evacuate();
      fleet.fixture.cell.worker("a1" as NodeId).suspendedUntilMs = Infinity;
      fleet.fixture.advance();
      fleet.reportAll();
      fleet.fixture.submit("f", [filler()]);
      fleet.step();
      expect(fleet.zonesOf("f")).to.equal(zones);
    }
  });
});

describe("a worker that is cold after an evacuation", () => {
  it("gets work only when the others are full", () => {
    const fleet = new Fleet(["a1", "b1"]);
    fleet.fixture.reportWorker("a1", { zone: "a", coldForMs: 5_000 });
    fleet.fixture.submit("j", [step({ count: 5 })]);
    fleet.fixture.advance();
    expect(fleet.zonesOf("j")).to.equal("bbbba");
  });
});
