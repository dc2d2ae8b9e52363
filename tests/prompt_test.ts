import { expect } from "chai";
import { ConcurrencyLimit } from "../src/core/admit/concurrency_limit.ts";
import type { ServiceSimulationOptions } from "../scenarios/prompt/service_simulation_options.ts";
import { ServiceSimulation } from "../scenarios/prompt/service_simulation.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";

const baseOptions: ServiceSimulationOptions = {
  seed: 1,
  picker: "two-choices",
  entries: 3,
  runners: 10,
  slots: 8,
  meanMs: 10,
  load: 0.5,
  timeoutMs: 250,
  lastsMs: 4_000,
  slowRunners: 0,
  dyingRunners: 0,
  floodShare: 0,
};

interface Case {
  readonly name: string;
  readonly overrides: Partial<ServiceSimulationOptions>;
  /** Smallest share of the capacity that must be answered in time. */
  readonly goodput: number;
  /** Smallest answered share of the requests of each other member. */
  readonly others: number;
}

const cases: readonly Case[] = [
  { name: "half load", overrides: {}, goodput: 0.45, others: 0.999 },
  {
    name: "twice the capacity",
    overrides: { load: 2 },
    goodput: 0.9,
    others: 0,
  },
  {
    name: "one runner ten times slower",
    overrides: { slowRunners: 1 },
    goodput: 0.45,
    others: 0.99,
  },
  {
    name: "half the runners die",
    overrides: { load: 0.4, dyingRunners: 5 },
    goodput: 0.36,
    others: 0.99,
  },
  {
    name: "one member floods",
    overrides: { load: 1.6, floodShare: 0.75 },
    goodput: 0.9,
    others: 0.99,
  },
];

describe("prompt requests on virtual time", () => {
  for (const { name, overrides, goodput, others } of cases) {
    it(name, () => {
      const options = { ...baseOptions, ...overrides };
      const world = new ServiceSimulation(options);
      const results = world.run();
      const seconds = options.lastsMs / 1_000;
      const share = results.answered / seconds / world.capacityPerSecond;
      expect(share, "goodput").to.be.at.least(goodput);
      for (const [member, offered] of results.offeredByMember) {
        if (member === "flood") continue;
        const answered = results.answeredByMember.get(member) ?? 0;
        expect(answered / offered, member).to.be.at.least(others);
      }
      // The retry budget of each entry: a tenth of the calls, and 3 in reserve.
      const reserve = 3 * options.entries;
      expect(results.retries).to.be.at.most(results.offered * 0.1 + reserve);
      for (const runner of world.runners) {
        expect(runner.maxRunning).to.be.at.most(options.slots);
      }
    });
  }
});

describe("the concurrency limit", () => {
  const limitCases = [
    {
      name: "steady latency keeps all slots",
      latencyFactor: 1,
      min: 8,
      max: 8,
    },
    {
      name:
        "four times the latency lowers it, to a quarter of the slots at least",
      latencyFactor: 4,
      min: 2,
      max: 6,
    },
  ];
  for (const { name, latencyFactor, min, max } of limitCases) {
    it(name, () => {
      const limit = new ConcurrencyLimit(8);
      const random = new SeededRandom(1);
      const drawLatency = (meanMs: number): number =>
        -Math.log(1 - random.next()) * meanMs;
      for (let n = 0; n < 2_000; n++) limit.observe(drawLatency(10), 8, n * 10);
      expect(limit.value).to.equal(8);
      for (let n = 0; n < 150; n++) {
        limit.observe(drawLatency(10 * latencyFactor), 8, 20_000 + n * 20);
      }
      expect(limit.value).to.be.within(min, max);
    });
  }
});
