import { expect } from "chai";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import { LoadReporter } from "../src/cellhost/load_reporter.ts";
import type { LoadSummary } from "../src/core/queueing/load_summary.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import { CellFixture } from "./cell_fixture.ts";

const stepMs = 50;

describe("a keeper's report of its load", () => {
  /** Plays a term of a full worker; returns when it published what. */
  function play(untilMs: number) {
    const fixture = new CellFixture();
    const metrics = new PrometheusMetrics();
    const published: (readonly [atMs: number, LoadSummary])[] = [];
    const clock = {
      nowMs: () => fixture.nowMs,
      wallMs: () => fixture.wallMs,
      sleep: () => Promise.resolve(),
      nextTurn: () => Promise.resolve(),
    };
    const beganAtMs = fixture.nowMs;
    const reporter = new LoadReporter(metrics, clock, (summary) => {
      published.push([fixture.nowMs - beganAtMs, summary]);
    });
    fixture.reportWorker("w");
    fixture.submit("a", [CellFixture.step({ count: 6, expectedMs: 1e6 })]);
    while (fixture.nowMs - beganAtMs < untilMs) {
      fixture.advance(stepMs);
      reporter.update(fixture.cell);
    }
    return { published, metrics };
  }

  it("begins once all workers may be known, and stays valid", () => {
    const { published } = play(4_000);
    const timesMs = published.map(([atMs]) => atMs);
    expect(timesMs[0]).to.be.at.least(1_500);
    const gapsMs = timesMs.slice(1).map((atMs, i) => atMs - timesMs[i]!);
    expect(Math.min(...gapsMs)).to.be.at.least(200);
    expect(Math.max(...gapsMs)).to.be.at.most(1_000);
  });

  it("names what is free, what runs and what waits", async () => {
    const { published, metrics } = play(2_000);
    const summary = published[0]![1];
    expect(isKeeperMessage({ kind: "load", ...summary })).to.equal(true);
    const [{ pool, capacityMilli, freeMilli, classes } = fail()] =
      summary.pools;
    expect([pool, capacityMilli, freeMilli]).to.eql(["pool", 4_000, 0]);
    expect(classes.reserved.places.at(-1)?.[2]).to.equal(2_000 * 1e6);
    const line = 'waiting_core_seconds{queue="q",party=""} 2000';
    expect(await metrics.text()).to.include(line);
  });
});

function fail(): never {
  throw new Error("no pool");
}
