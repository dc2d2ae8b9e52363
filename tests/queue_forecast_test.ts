import { expect } from "chai";
import { QueueForecast } from "../src/core/queueing/queue_forecast.ts";
import type { ClassLoad } from "../src/core/queueing/class_load.ts";
import type { JobDemand } from "../src/core/queueing/job_demand.ts";
import type { WaitingWork } from "../src/core/queueing/waiting_work.ts";
import { LoadModel } from "../stand_ins/load/load_model.ts";
import { siteLoad } from "../stand_ins/load/site_load.ts";

const empty: ClassLoad = {
  capacityMilli: 4_000,
  freeMilli: 4_000,
  running: [],
  waiting: [],
};
const run = { cpuMilli: 2_000, remainingMs: 1_000 };
const busy = {
  ...empty,
  freeMilli: 0,
  running: [run, { cpuMilli: 2_000, remainingMs: 3_000 }],
};

function waiting(change: Partial<WaitingWork>): WaitingWork {
  const place = { band: 1, priority: 0, rankMs: 5_000 } as const;
  return { queue: "q", party: "", ...place, milliMs: 4_000_000, ...change };
}

describe("a forecast of a job of two tasks of 1 s on 2 cores", () => {
  const demand: JobDemand = {
    ...waiting({}),
    cpuClass: "reserved",
    taskCpuMilli: 2_000,
    chainMs: 1_000,
    objectiveMs: 2_000,
  };
  const cases: readonly (readonly [
    name: string,
    load: ClassLoad,
    startInMs: number,
    endInMs: number,
  ])[] = [
    ["starts it at once on free CPU", empty, 0, 1_000],
    ["waits for the CPU of one task", busy, 1_000, 3_000],
    [
      "is delayed by work of a lower rank",
      { ...busy, waiting: [waiting({ rankMs: 4_000 })] },
      3_000,
      4_000,
    ],
    [
      "is delayed by late work of a higher priority alone",
      {
        ...busy,
        waiting: [
          waiting({ band: 2, rankMs: 1 }),
          waiting({ priority: 1, rankMs: 1 }),
          waiting({ rankMs: 6_000 }),
        ],
      },
      1_000,
      3_000,
    ],
    [
      "never starts it without workers",
      { ...empty, capacityMilli: 0, freeMilli: 0 },
      Infinity,
      Infinity,
    ],
  ];
  for (const [name, load, startInMs, endInMs] of cases) {
    it(name, () => {
      const forecast = new QueueForecast({ reserved: load, filler: empty });
      expect(forecast.predict(demand)).to.eql({ startInMs, endInMs });
    });
  }
});

describe("forecasts of plans in a burst", function () {
  it("are off by no more than a task on half of the plans", () => {
    const errorsMs = [1, 2, 3].flatMap((seed) => {
      const load = siteLoad(seed, 11, { checksForecast: true });
      return new LoadModel(load).run().forecastErrorsMs;
    });
    const sizesMs = errorsMs.map(Math.abs).sort((a, b) => a - b);
    expect(sizesMs.length).to.be.above(80);
    expect(sizesMs[sizesMs.length >> 1]).to.be.below(3_100);
  });
});
