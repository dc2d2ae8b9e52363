import { expect } from "chai";
import { ContentionOrder } from "../src/core/queueing/contention_order.ts";
import { UrgencyOrder } from "../src/core/cell/urgency_order.ts";
import { CellFixture } from "./cell_fixture.ts";

interface Waiting {
  readonly id: string;
  readonly expectedMs: number;
  /** When it is submitted, after the worker is full. */
  readonly atMs: number;
}

const long = { expectedMs: 60_000, count: 4 };

/** What starts when a full worker has one core again, 20 ms after `atMs`. */
function startAt(
  order: ContentionOrder | UrgencyOrder,
  jobs: readonly Waiting[],
  atMs: number,
): string {
  const fixture = new CellFixture();
  fixture.cell.order = order;
  fixture.reportWorker("w");
  fixture.submit("full", [CellFixture.step(long)]);
  fixture.advance();
  fixture.newStarts();
  let sinceMs = 0;
  for (const { id, expectedMs, atMs } of jobs) {
    fixture.advance(atMs - sinceMs);
    sinceMs = atMs;
    fixture.submit(id, [CellFixture.step({ expectedMs })]);
  }
  fixture.advance(atMs - sinceMs);
  fixture.endRun("w", "full.0.0.0", 1, "done");
  fixture.advance(20);
  return fixture.newStarts()[0]?.split(".")[0] ?? "none";
}

describe("late jobs", () => {
  // Each is of use until three times (2 times its time plus 500 ms).
  const cases: readonly (readonly [
    name: string,
    jobs: readonly Waiting[],
    atMs: number,
    byUrgency: string,
    inContention: string,
  ])[] = [
    [
      "go by what they earn per core-second, not by their age",
      [
        { id: "large", expectedMs: 3_000, atMs: 0 },
        { id: "small", expectedMs: 2_000, atMs: 2_000 },
      ],
      6_000,
      "large",
      "small",
    ],
    [
      "go last once they cannot end in use",
      [
        { id: "useless", expectedMs: 1_000, atMs: 0 },
        { id: "useful", expectedMs: 2_000, atMs: 200 },
      ],
      7_000,
      "useless",
      "useful",
    ],
    [
      "go after jobs that can end in time",
      [
        { id: "late", expectedMs: 1_000, atMs: 0 },
        { id: "timely", expectedMs: 3_000, atMs: 5_000 },
      ],
      6_000,
      "timely",
      "timely",
    ],
  ];
  for (const [name, jobs, atMs, byUrgency, inContention] of cases) {
    it(name, () => {
      expect(startAt(new UrgencyOrder(), jobs, atMs)).to.equal(byUrgency);
      expect(startAt(new ContentionOrder(), jobs, atMs)).to.equal(inContention);
    });
  }
});
