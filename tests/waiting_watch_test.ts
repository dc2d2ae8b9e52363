import { expect } from "chai";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { LeaseTracker } from "../src/cellhost/lease_tracker.ts";
import type { RowWriter } from "../src/cellhost/row_writer.ts";
import { WaitingWatch } from "../src/cellhost/waiting_watch.ts";
import type { Cell } from "../src/core/cell/cell.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { VirtualClock } from "../stand_ins/clock/virtual_clock.ts";
import { CellFixture } from "./cell_fixture.ts";
import { LineLog } from "./line_log.ts";

const { step } = CellFixture;
const tickMs = 50;
const secondMs = 1_000;
const tiny = { cpuMilli: 1, memoryBytes: 1, accelerators: 0 };

/** A cell that is watched at each tick, and what was logged of it. */
class WatchFixture extends CellFixture {
  readonly lines = new LineLog();
  readonly metrics = new PrometheusMetrics();
  readonly watch: WaitingWatch;
  /** The highest number of lines in a second. */
  mostLines = 0;

  constructor() {
    super();
    const leases = new LeaseTracker(
      {} as RowWriter,
      6_000,
      new VirtualClock(),
    );
    this.watch = new WaitingWatch(leases, this.lines, this.metrics);
  }

  /** Plays ticks; nobody reports. */
  play(ms: number): void {
    const counts: number[] = [];
    for (let playedMs = 0; playedMs < ms; playedMs += tickMs) {
      this.advance(tickMs);
      this.watch.update(this.cell, this.nowMs);
      counts.push(this.lines.lines.length);
      const before = counts[counts.length - 1 - secondMs / tickMs] ?? 0;
      const inSecond = this.lines.lines.length - before;
      this.mostLines = Math.max(this.mostLines, inSecond);
    }
  }
}

/** Counts how often a cell's tasks are looked at, by their claims. */
function countLooks(cell: Cell, id: string): { count: number } {
  const looks = { count: 0 };
  for (const task of cell.jobs.get(id as JobId)!.tasks()) {
    let { claim } = task;
    Object.defineProperty(task, "claim", {
      get: () => {
        looks.count += 1;
        return claim;
      },
      set: (next) => claim = next,
    });
  }
  return looks;
}

describe("what is logged of waiting tasks", () => {
  it("is bounded, and names each task of a service", () => {
    const fixture = new WatchFixture();
    const services = 20;
    const count = 30;
    for (let job = 0; job < services; job++) {
      fixture.submit(`s${job}`, [step({ count, isService: true })]);
      fixture.submit(`j${job}`, [step({ count, resources: tiny })]);
    }
    fixture.play(12_000);
    expect(fixture.mostLines).to.be.at.most(14);
    const text = fixture.lines.of("task_waits").join("\n");
    for (let job = 0; job < services; job++) {
      for (let index = 0; index < count; index++) {
        expect(text).to.match(new RegExp(`task=s${job}.0.0.${index}\\b`));
      }
    }
  });

  it("has services first", () => {
    const fixture = new WatchFixture();
    for (let job = 0; job < 20; job++) fixture.submit(`j${job}`, [step()]);
    fixture.submit("s", [step({ isService: true })]);
    fixture.play(3_000);
    const [first = ""] = fixture.lines.of("task_waits");
    expect(first).to.include("task=s.0.0.0 ");
  });

  it("is one line for a group, with its size and first tasks", () => {
    const fixture = new WatchFixture();
    fixture.submit("j", [step({ count: 30_000 })]);
    fixture.play(3_000);
    const lines = fixture.lines.of("task_waits");
    expect(lines.length).to.equal(1);
    expect(lines[0]).to.match(
      /task=j.0.0.0 .*tasks=30000 others=task=j.0.0.1 run=0 task=j.0.0.2/,
    );
  });

  it("is found with a bounded number of looks at a large job", () => {
    for (const isService of [false, true]) {
      const fixture = new WatchFixture();
      fixture.submit("j", [step({ count: 30_000, isService })]);
      const looks = countLooks(fixture.cell, "j");
      let most = 0;
      for (let playedMs = 0; playedMs < 10_000; playedMs += tickMs) {
        fixture.nowMs += tickMs;
        looks.count = 0;
        fixture.watch.update(fixture.cell, fixture.nowMs);
        most = Math.max(most, looks.count);
      }
      expect(fixture.lines.lines.length).to.be.above(0);
      expect(most).to.be.at.most(30_000);
    }
  });

  it("is nothing while tasks run, or wait for a moment only", () => {
    const fixture = new WatchFixture();
    fixture.reportWorker("w");
    fixture.submit("j", [step({ count: 2, isService: true })]);
    fixture.advance();
    for (let round = 0; round < 10; round++) {
      fixture.reportWorker("w", { running: fixture.runningOn("w") });
      fixture.play(500);
      const [task] = fixture.runsOn("w");
      fixture.endRun("w", task!.name, task!.run, "stopped");
    }
    expect(fixture.lines.lines).to.eql([]);
  });

  it("ends without a line when the job is cancelled", () => {
    const fixture = new WatchFixture();
    fixture.submit("s", [step({ isService: true })]);
    fixture.play(3_000);
    fixture.collect(fixture.cell.cancel("s" as JobId, fixture.nowMs));
    fixture.play(10_000);
    expect(fixture.lines.lines.length).to.equal(1);
  });
});

describe("a watch that fails", () => {
  it("is logged once and goes no further", () => {
    const fixture = new WatchFixture();
    fixture.submit("s", [step({ isService: true })]);
    fixture.play(1_000);
    Object.defineProperty(fixture.cell, "liveJobs", {
      get: () => {
        throw new Error("as a test");
      },
    });
    for (let round = 0; round < 9; round++) {
      fixture.nowMs += secondMs;
      fixture.watch.update(fixture.cell, fixture.nowMs);
    }
    expect(fixture.lines.of("waiting_watch_failed").length).to.equal(1);
  });
});
