import type { PromptOptions } from "../scenarios/prompt/prompt_options.ts";
import { PromptWorld } from "../scenarios/prompt/prompt_world.ts";

const pickers: readonly PromptOptions["picker"][] = [
  "two-choices",
  "round-robin",
  "least-connections",
];

const base: Omit<PromptOptions, "picker"> = {
  seed: 1,
  entries: 3,
  runners: 10,
  slots: 8,
  meanMs: 10,
  load: 0.8,
  timeoutMs: 250,
  lastsMs: 8_000,
  slowRunners: 0,
  dyingRunners: 0,
  floodShare: 0,
};

const cases: readonly {
  readonly name: string;
  readonly change: Partial<PromptOptions>;
}[] = [
  { name: "half load", change: { load: 0.5 } },
  { name: "80 % load", change: {} },
  { name: "twice the capacity", change: { load: 2 } },
  {
    name: "one runner ten times slower",
    change: { load: 0.6, slowRunners: 1 },
  },
  { name: "half the runners die", change: { load: 0.4, dyingRunners: 5 } },
  { name: "one member floods", change: { load: 1.6, floodShare: 0.75 } },
];

/** Compares ways to pick a runner, with the same admission and retries. */
function main(): void {
  for (const { name, change } of cases) {
    for (const picker of pickers) measure(name, { ...base, ...change, picker });
  }
}

function measure(name: string, options: PromptOptions): void {
  const simulation = new PromptWorld(options);
  const results = simulation.run();
  const seconds = options.lastsMs / 1_000;
  const goodput = results.answered / seconds / simulation.capacityPerSecond;
  const otherMembers = [...results.offeredOf].filter(([member]) =>
    member !== "flood"
  );
  const offered = otherMembers.reduce((sum, [, count]) => sum + count, 0);
  const answered = otherMembers.reduce(
    (sum, [m]) => sum + (results.answeredOf.get(m) ?? 0),
    0,
  );
  const refusals =
    [...results.refusals].map(([kind, n]) => `${kind}=${n}`).join(",") ||
    "none";
  console.log(
    [
      `case="${name}"`,
      `picker=${options.picker}`,
      `p50=${results.answerMs(50).toFixed(1)}`,
      `p99=${results.answerMs(99).toFixed(1)}`,
      `p99.9=${results.answerMs(99.9).toFixed(1)}`,
      `goodputOfCapacity=${goodput.toFixed(3)}`,
      `answeredOfOthers=${(answered / offered).toFixed(3)}`,
      `retriesPerRequest=${(results.retries / results.offered).toFixed(3)}`,
      `refusalMs p50=${results.refusalMs(50).toFixed(1)} p99=${
        results.refusalMs(99).toFixed(1)
      }`,
      `refusals=${refusals}`,
    ].join(" "),
  );
}

main();
