import type { SeededRandom } from "../../stand_ins/seeded_random.ts";
import type { HistoryStep } from "./history_step.ts";

const stepCount = 32;
const maxPauseMs = 1_400;
/** Some steps follow at once, so that messages cross. */
const burstShare = 0.35;
const maxBurstPauseMs = 60;
const choices = 1_000;

/** The kinds of steps, with how often each comes relative to the others. */
const weights: readonly (readonly [HistoryStep["kind"], number])[] = [
  ["submit", 4],
  ["submit_wide", 5],
  ["submit_chain", 3],
  ["cancel", 3],
  ["elect", 3],
  ["pause_keeper", 2],
  ["kill_keeper", 2],
  ["restart_sidecar", 2],
  ["pause_sidecar", 2],
  ["restart_runner", 2],
  ["silence_runner", 2],
  ["cut_link", 3],
  ["reset_link", 6],
  ["lose_commands", 3],
  ["cut_store", 1],
  ["lose_appends", 2],
  ["drain", 1],
  ["fail_task", 2],
];

/** How many steps are inserted at most. */
const maxInserted = 8;
/** What is inserted; long tasks with checkpoints are moved by evacuations. */
const evacuationKinds = [
  "evacuate",
  "evacuate",
  "suspend_keeper",
  "submit_long",
] as const;

const crashKinds = ["submit_crashing", "resize", "resize"] as const;

/** What is inserted where services run. */
const serviceKinds = [
  "submit_service",
  "leave_runner",
  "leave_runner",
  "kill_keeper_at",
  "kill_keeper_at",
  "fail_task",
] as const;
/** Some of them come after so long a pause that services must run. */
const calmShare = 0.3;
const minCalmMs = 8_000;
const maxCalmMs = 14_000;

/**
 * Draws the steps of a history. Evacuations, crashes and services come from
 * sources of their own, so that the other steps are those of the same seed
 * without any.
 */
export function randomHistory(
  random: SeededRandom,
  evacuations?: SeededRandom,
  crashes?: SeededRandom,
  services?: SeededRandom,
): HistoryStep[] {
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0);
  const drawKind = (): HistoryStep["kind"] => {
    let left = random.next() * total;
    for (const [kind, weight] of weights) {
      left -= weight;
      if (left < 0) return kind;
    }
    return "submit";
  };
  const draw = (below: number) => Math.floor(random.next() * below);
  const steps = Array.from({ length: stepCount }, (): HistoryStep => ({
    afterMs: draw(random.next() < burstShare ? maxBurstPauseMs : maxPauseMs),
    kind: drawKind(),
    a: draw(choices),
    b: draw(choices),
  }));
  if (evacuations !== undefined) {
    insertSteps(steps, evacuationKinds, evacuations);
  }
  if (crashes !== undefined) insertSteps(steps, crashKinds, crashes);
  if (services !== undefined) insertServices(steps, services);
  return steps;
}

function insertSteps(
  steps: HistoryStep[],
  kinds: readonly HistoryStep["kind"][],
  random: SeededRandom,
): void {
  const draw = (below: number) => Math.floor(random.next() * below);
  const count = 1 + draw(maxInserted);
  for (let number = 0; number < count; number++) {
    const kind = kinds[draw(kinds.length)]!;
    const step = {
      afterMs: 0,
      kind,
      a: draw(choices),
      b: draw(choices),
    } as const;
    steps.splice(draw(steps.length), 0, step);
  }
}

/** Inserts services, one of them before the other steps, and what ends runs. */
function insertServices(steps: HistoryStep[], random: SeededRandom): void {
  const draw = (below: number) => Math.floor(random.next() * below);
  const count = 2 + draw(maxInserted);
  for (let number = 0; number < count; number++) {
    const isCalm = random.next() < calmShare;
    const step = {
      afterMs: isCalm ? minCalmMs + draw(maxCalmMs - minCalmMs) : 0,
      kind: serviceKinds[draw(serviceKinds.length)]!,
      a: draw(choices),
      b: draw(choices),
    };
    steps.splice(draw(steps.length), 0, step);
  }
  const [a, b] = [draw(choices), draw(choices)];
  steps.unshift({ afterMs: 0, kind: "submit_service", a, b });
}
