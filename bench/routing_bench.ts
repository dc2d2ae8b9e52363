import type { ServiceSimulationOptions } from "../scenarios/prompt/service_simulation_options.ts";
import { ServiceSimulation } from "../scenarios/prompt/service_simulation.ts";

const pickers: readonly ServiceSimulationOptions["picker"][] = [
  "two-choices",
  "round-robin",
  "least-connections",
];

const base: Omit<ServiceSimulationOptions, "picker"> = {
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
  readonly change: Partial<ServiceSimulationOptions>;
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

function measure(name: string, options: ServiceSimulationOptions): void {
  const simulation = new ServiceSimulation(options);
  const results = simulation.run();
  const seconds = options.lastsMs / 1_000;
  const goodput = results.answered / seconds / simulation.capacityPerSecond;
  const otherMembers = [...results.offeredByMember].filter(([member]) =>
    member !== "flood"
  );
  const offered = otherMembers.reduce((sum, [, count]) => sum + count, 0);
  const answered = otherMembers.reduce(
    (sum, [m]) => sum + (results.answeredByMember.get(m) ?? 0),
    0,
  );
  const refusals =
    [...results.refusals].map(([kind, n]) => `${kind}=${n}`).join(",") ||
    "none";
  console.log(
    [
      `case="${name}"`,
      `picker=${options.picker}`,
      `p50=${results.answerPercentileMs(50).toFixed(1)}`,
      `p99=${results.answerPercentileMs(99).toFixed(1)}`,
      `p99.9=${results.answerPercentileMs(99.9).toFixed(1)}`,
      `goodputOfCapacity=${goodput.toFixed(3)}`,
      `answeredOfOthers=${(answered / offered).toFixed(3)}`,
      `retriesPerRequest=${(results.retries / results.offered).toFixed(3)}`,
      `refusalMs p50=${results.refusalPercentileMs(50).toFixed(1)} p99=${
        results.refusalPercentileMs(99).toFixed(1)
      }`,
      `refusals=${refusals}`,
    ].join(" "),
  );
}

main();
