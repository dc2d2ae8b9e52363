import { expect } from "chai";
import { ConcurrencyLimit } from "../src/core/admit/concurrency_limit.ts";
import type { PromptOptions } from "../scenarios/prompt/prompt_options.ts";
import { PromptWorld } from "../scenarios/prompt/prompt_world.ts";
import { SeededRandom } from "../stand_ins/seeded_random.ts";

const base: PromptOptions = {
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
  readonly change: Partial<PromptOptions>;
  /** Least part of the capacity that is answered in time. */
  readonly goodput: number;
  /** Least part of the requests of members that do not flood. */
  readonly others: number;
}

const cases: readonly Case[] = [
  { name: "half load", change: {}, goodput: 0.45, others: 0.999 },
  { name: "twice the capacity", change: { load: 2 }, goodput: 0.9, others: 0 },
  {
    name: "one runner ten times slower",
    change: { slowRunners: 1 },
    goodput: 0.45,
    others: 0.99,
  },
  {
    name: "half the runners die",
    change: { load: 0.4, dyingRunners: 5 },
    goodput: 0.36,
    others: 0.99,
  },
  {
    name: "one member floods",
    change: { load: 1.6, floodShare: 0.75 },
    goodput: 0.9,
    others: 0.99,
  },
];

describe("prompt requests on virtual time", () => {
  for (const { name, change, goodput, others } of cases) {
    it(name, () => {
      const options = { ...base, ...change };
      const world = new PromptWorld(options);
      const results = world.run();
      const seconds = options.lastsMs / 1_000;
      const part = results.answered / seconds / world.capacityPerSecond;
      expect(part, "goodput").to.be.at.least(goodput);
      for (const [member, offered] of results.offeredOf) {
        if (member === "flood") continue;
        const answered = results.answeredOf.get(member) ?? 0;
        expect(answered / offered, member).to.be.at.least(others);
      }
      const reserve = 3 * options.entries;
      expect(results.retries).to.be.at.most(results.offered * 0.1 + reserve);
      for (const runner of world.runners) {
        expect(runner.mostRunning).to.be.at.most(options.slots);
      }
    });
  }
});

describe("the concurrency limit", () => {
  const limitCases = [
    { name: "steady latency keeps all slots", factor: 1, from: 8, to: 8 },
    {
      name: "three times the latency lowers it, not to nothing",
      factor: 4,
      from: 2,
      to: 6,
    },
  ];
  for (const { name, factor, from, to } of limitCases) {
    it(name, () => {
      const limit = new ConcurrencyLimit(8);
      const random = new SeededRandom(1);
      const draw = (meanMs: number): number =>
        -Math.log(1 - random.next()) * meanMs;
      for (let n = 0; n < 2_000; n++) limit.observe(draw(10), 8, n * 10);
      expect(limit.value).to.equal(8);
      for (let n = 0; n < 150; n++) {
        limit.observe(draw(10 * factor), 8, 20_000 + n * 20);
      }
      expect(limit.value).to.be.within(from, to);
    });
  }
});
