import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { Logger } from "../src/adapters/logger.ts";
import { PrometheusMetrics } from "../src/adapters/prometheus_metrics.ts";
import type { JobDefinition } from "../src/core/jobs/job_definition.ts";
import type { JobId } from "../src/core/jobs/job_id.ts";
import { LoadAdmission } from "../src/core/queueing/load_admission.ts";
import type { LoadSummary } from "../src/core/queueing/load_summary.ts";
import { isKeeperMessage } from "../src/link/is_keeper_message.ts";
import { JobAdmission } from "../src/nodes/job_admission.ts";
import { plainQueue } from "../stand_ins/plain_queue.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";
import { plainStep } from "../stand_ins/plain_step.ts";

const wallMs = 1_000_000;
const full = { capacityMilli: 4_000, freeMilli: 0, runningMilliMs: 0 };

/** The load on 4 cores whose waiting work lasts this long. */
function summary(waitingMs: number, change: Partial<typeof full> = {}) {
  const { freeMilli, capacityMilli } = { ...full, ...change };
  const place = [0, wallMs, waitingMs * full.capacityMilli] as const;
  const load = { ...full, ...change, places: [place] };
  const classes = { reserved: load, filler: load };
  const pools = [{ pool: "pool", capacityMilli, freeMilli, classes }];
  return { atMs: wallMs, pools } satisfies LoadSummary;
}

/** A job of 1 s on one core, of use for 7.5 s. */
function job(change: Partial<JobDefinition> = {}): JobDefinition {
  return {
    id: "job" as JobId,
    queue: "q",
    payload: "",
    steps: [plainStep()],
    schedule: undefined,
    receivedMs: wallMs,
    ...change,
  };
}

function newAdmission(): LoadAdmission {
  const admission = new LoadAdmission();
  admission.setQueues([plainQueue({ maxAttempts: 1 })]);
  return admission;
}

describe("an entry under overload", () => {
  const overloaded = summary(10_000);
  const schedule = { firstMs: 0, intervalMs: 1, count: 2 };
  const accepted: readonly (readonly [
    name: string,
    summaries: readonly LoadSummary[],
    change?: Partial<JobDefinition>,
    nowMs?: number,
  ])[] = [
    ["without a summary", []],
    ["with a summary of 1.6 s ago", [overloaded], {}, 1_600],
    ["with a tenth of the CPU free", [summary(10_000, { freeMilli: 400 })]],
    ["of a service", [overloaded], { steps: [plainStep({ isService: true })] }],
    ["of a repeated job", [overloaded], { schedule }],
    ["of an unknown queue", [overloaded], { queue: "other" }],
    ["that can just end in time", [summary(7_200)]],
    [
      "while most workers are away for a moment",
      [summary(0), summary(3_000, { capacityMilli: 400 })],
    ],
  ];
  for (const [name, summaries, change, nowMs = 0] of accepted) {
    it(`accepts a job ${name}`, () => {
      const admission = newAdmission();
      for (const each of summaries) admission.receive(each, 0);
      const decision = admission.decide(job(change), nowMs);
      expect(decision.kind).to.equal("accept");
    });
  }

  it("refuses a job that cannot end in time until it can", () => {
    const admission = newAdmission();
    admission.receive(overloaded, 0);
    expect(admission.decide(job(), 0)).to.eql({
      kind: "refuse",
      reason: "overloaded",
      retryAfterMs: 2_750,
      earliestEndMs: 10_250,
      usefulMs: 7_500,
      summaryAgeMs: 0,
    });
    admission.receive(summary(7_200), 2_750);
    expect(admission.decide(job(), 2_750))
      .to.eql({ kind: "accept", hasReturned: true });
  });

  it("counts jobs that were stored after the summary, once", () => {
    const admission = newAdmission();
    admission.receive(summary(7_000), 0);
    const other = job({ id: "other" as JobId, receivedMs: wallMs + 1 });
    admission.noteStored(other);
    admission.noteStored(other);
    expect(admission.decide(job({ receivedMs: wallMs + 2 }), 0).kind)
      .to.equal("accept");
    admission.noteStored({ ...other, id: "third" as JobId });
    expect(admission.decide(job({ receivedMs: wallMs + 2 }), 0).kind)
      .to.equal("refuse");
  });

  it("tells callers to return in turn, and keeps new ones behind them", () => {
    const admission = newAdmission();
    admission.receive(overloaded, 0);
    const ids = ["a", "b", "c"] as JobId[];
    const retriesMs = ids.map((id) => {
      const decision = admission.decide(job({ id }), 0);
      return decision.kind === "refuse" ? decision.retryAfterMs : 0;
    });
    expect(retriesMs).to.eql([2_750, 3_000, 3_250]);
    admission.receive(summary(7_000), 3_000);
    const kindOf = (id: string) =>
      admission.decide(job({ id: id as JobId }), 3_000).kind;
    expect(kindOf("new")).to.equal("refuse");
    expect(kindOf("a")).to.equal("accept");
    expect(kindOf("b")).to.equal("accept");
  });
});

describe("a refusal for load", () => {
  const cases: readonly (readonly [
    name: string,
    mayBeStored: boolean,
    refresh: () => Promise<boolean>,
    isKnown: boolean,
    isRefused: boolean,
  ])[] = [
    ["of a job that is new", false, () => Promise.resolve(true), false, true],
    [
      "of a job that is stored",
      false,
      () => Promise.resolve(true),
      true,
      false,
    ],
    ["of a job that may be", true, () => Promise.resolve(true), false, false],
    ["without the store", false, () => Promise.resolve(false), false, false],
    ["with a slow store", false, () => sleep(1_000, true), false, false],
  ];
  for (const [name, mayBeStored, refresh, isKnown, isRefused] of cases) {
    it(`${isRefused ? "is" : "is not"} given ${name}`, async () => {
      const admission = newAdmission();
      admission.receive(summary(1_000_000), performance.now());
      const check = new JobAdmission(
        admission,
        { refresh },
        () => isKnown,
        new PrometheusMetrics(),
        new Logger("silent", {}),
      );
      const refusal = await check.check(job(), mayBeStored);
      expect(refusal !== undefined).to.equal(isRefused);
    });
  }
});

describe("a message with the load", () => {
  const message = { kind: "load", ...summary(1) };
  const [pool] = message.pools;
  const cases: readonly (readonly [string, unknown, boolean])[] = [
    ["passes", message, true],
    ["fails without pools", { ...message, pools: undefined }, false],
    ["fails without a time", { ...message, atMs: "1" }, false],
    ["fails without classes", {
      ...message,
      pools: [{ ...pool, classes: {} }],
    }, false],
  ];
  for (const [name, value, isMessage] of cases) {
    it(name, () => expect(isKeeperMessage(value)).to.equal(isMessage));
  }
});

describe("admission of plans in a burst", function () {
  const parties = [{ origin: "a", share: 0.9 }, { origin: "b", share: 0.1 }];
  const cases = [[1.5, 5], [2.5, 5], [4, 5], [4, 50], [32, 5]] as const;
  for (const [factor, workers] of cases) {
    it(`costs callers nothing: ${factor} times on ${workers} workers`, () => {
      const play = (admits: boolean) => {
        const load = siteLoad(1, workers, { parties, admits });
        const bursts = [{ fromMs: 16_000, forMs: 6_000, factor }];
        const plans = { ...load.plans, bursts };
        const durationMs = 24_000;
        return new LoadModel({ ...load, plans, durationMs }).run();
      };
      const [off, on] = [play(false), play(true)];
      expect(on.refusedWithFree).to.equal(0);
      expect(on.refusedRuns).to.equal(0);
      expect(on.checks.refused).to.equal(0);
      expect(on.plans.refused > 0).to.equal(factor === 32);
      expect(on.plans.worth).to.be.at.least(off.plans.worth);
      expect(on.services.worth).to.be.at.least(off.services.worth - 0.01);
    });
  }
});
