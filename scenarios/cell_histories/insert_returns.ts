import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { HistoryStep } from "./history_step.ts";

const choices = 1_000;
const maxReturns = 3;
/** From tasks that outlast the cut to the return of their runner. */
const maxStartMs = 500;
/** So many returns follow a restart of the sidecar, within this time. */
const replacedShare = 0.15;
const maxBeforeReturnMs = 30;
/** So many returns are followed by another life, within this time. */
const againShare = 0.3;
const maxAgainMs = 1_000;
/** From the return to the cut, and from there to the steps that come after. */
const maxToCutMs = 3_000;
const maxAfterCutMs = 9_000;
const maxFaults = 3;

/** What happens between the return and the cut, and right after it. */
const faultKinds = [
  "kill_keeper",
  "kill_keeper",
  "elect",
  "restart_sidecar",
  "restart_sidecar",
  "cut_link",
  "reset_link",
  "pause_keeper",
  "pause_sidecar",
  "lose_commands",
  "cut_store",
  "submit_lasting",
] as const;

/**
 * Inserts runners that return in place and are cut off soon after, while tasks
 * run that outlast the cut.
 */
export function insertReturns(
  steps: HistoryStep[],
  random: SeededRandom,
): void {
  const draw = (below: number) => Math.floor(random.next() * below);
  const count = 1 + draw(maxReturns);
  for (let number = 0; number < count; number++) {
    steps.splice(draw(steps.length), 0, ...drawReturn(draw));
  }
}

function drawReturn(draw: (below: number) => number): HistoryStep[] {
  const worker = draw(choices);
  const step = (
    kind: HistoryStep["kind"],
    maxAfterMs: number,
    a = worker,
  ): HistoryStep => ({ afterMs: draw(maxAfterMs), kind, a, b: draw(choices) });
  const faults = () =>
    Array.from(
      { length: draw(maxFaults) },
      () => step(faultKinds[draw(faultKinds.length)]!, maxToCutMs / maxFaults),
    );
  const steps = [
    step("submit_lasting", maxStartMs, draw(choices)),
  ];
  if (draw(choices) < replacedShare * choices) {
    steps.push(step("restart_sidecar", maxStartMs));
    steps.push(step("return_runner", maxBeforeReturnMs));
  } else steps.push(step("return_runner", maxStartMs));
  if (draw(choices) < againShare * choices) {
    steps.push(step("return_runner", maxAgainMs));
  }
  steps.push(...faults(), step("cut_off_runner", maxToCutMs / maxFaults));
  steps.push(...faults(), step("submit", maxAfterCutMs, draw(choices)));
  return steps;
}
