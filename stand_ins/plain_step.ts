import type { StepDefinition } from "../src/core/jobs/step_definition.ts";

const bytesPerMb = 1_048_576;

/** A step of one task of one core, without constraints, but for a change. */
export function plainStep(
  change: Partial<StepDefinition> = {},
): StepDefinition {
  return {
    count: 1,
    resources: {
      cpuMilli: 1_000,
      memoryBytes: 100 * bytesPerMb,
      accelerators: 0,
    },
    expectedMs: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    sameRack: false,
    label: undefined,
    dataRack: undefined,
    mostPerWorker: 0,
    isSpeculative: false,
    isService: false,
    image: undefined,
    targetLatencyMs: 0,
    isFiller: false,
    mostAway: 0,
    ...change,
  };
}
