import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { lastingMs } from "./lasting_ms.ts";

const minRunMs = 150;
const maxRunMs = 2_500;

/** Draws how long a run takes: as long as expected only if the task outlasts cuts. */
export function runMsOf(
  step: Pick<StepDefinition, "expectedMs"> | undefined,
  random: SeededRandom,
): number {
  const drawnMs = minRunMs + random.next() * (maxRunMs - minRunMs);
  const expectedMs = step?.expectedMs ?? 0;
  const isLasting = expectedMs >= lastingMs.min && expectedMs <= lastingMs.max;
  return isLasting ? expectedMs : drawnMs;
}
