import type { JobId } from "../../src/core/jobs/job_id.ts";
import type { StepDefinition } from "../../src/core/jobs/step_definition.ts";
import { plainStep } from "../../stand_ins/plain_step.ts";
import type { HistoryStep } from "./history_step.ts";
import { failingImage } from "./failing_image.ts";
import { HistoryWorld } from "./history_world.ts";
import { historyOfSeed } from "./history_of_seed.ts";
import { lastingMs } from "./lasting_ms.ts";
import { killPoints } from "./kill_points.ts";

/** Before the first step the first keeper has connected to all workers. */
const leadMs = 1_500;
/** About how long a task runs. */
const expectedMs = 1_500;
/** Tasks that would run on for longer than the bound leave a data centre. */
const longExpectedMs = 20_000;
const evacuateMs = 5_000;
/** The longest time from an evacuation to its revocation. */
const maxEvacuationMs = 16_000;
const settleMs = 10_000;
/** After the end of all faults services run on, so that they are checked. */
const serviceCalmMs = 20_000;
/** The shortest time for which a runner drains, and is away. */
const minDrainMs = 500;
const minAwayMs = 2_000;
/** The longest time between two lives in place, and to the heartbeat after. */
const maxReturnMs = 400;
const maxUnheardMs = 1_200;
/** How long a runner that has returned is cut off. */
const minCutOffMs = 7_000;
const maxCutOffMs = 10_000;
/** How long no keeper is there after a kill: a process's, or all entries'. */
const killedForMs = [900, 2_500] as const;
/** Steps that are no faults: the rules allow no wait for them. */
const undisturbing: ReadonlySet<HistoryStep["kind"]> = new Set([
  "submit",
  "submit_wide",
  "submit_chain",
  "submit_long",
  "submit_lasting",
  "submit_service",
  "cancel",
  "drain",
  "leave_runner",
  "fail_task",
  "evacuate",
  "resize",
  "kill_keeper_at",
]);
/** How long what a cancelled job runs may take to end. */
const stopMs = 3_500;
/** Work that is left after so many times `settleMs` of calm fails a history. */
const maxSettles = 6;
/** The same for tasks that outlast a cut. */
const maxLastingSettles = 18;

interface HistoryResult {
  readonly checks: number;
  readonly jobs: number;
  readonly violations: readonly string[];
  readonly trace: readonly string[];
}

/**
 * Plays a history on virtual time, ends all faults, and waits until the work is
 * done. The steps are drawn from the seed, unless some are given.
 */
export async function runCellHistory(
  seed: number,
  steps: readonly HistoryStep[] = historyOfSeed(seed),
): Promise<HistoryResult> {
  const isEvacuating = steps.some(({ kind }) => kind === "evacuate");
  const isLasting = steps.some(({ kind }) => kind === "submit_service");
  const outlastsCuts = steps.some(({ kind }) => kind === "submit_lasting");
  const world = new HistoryWorld(
    seed,
    isEvacuating ? evacuateMs : undefined,
    isLasting,
    isLasting || outlastsCuts,
  );
  const { checker, clock, trace } = world;
  await clock.advance(leadMs);
  for (const step of steps) {
    await clock.advance(step.afterMs);
    if (checker.violations.length > 0) break;
    world.note(`step ${step.kind} ${step.a} ${step.b}`);
    if (!undisturbing.has(step.kind)) world.disturb();
    applyStep(world, step);
  }
  world.heal();
  if (isLasting && checker.violations.length === 0) {
    await clock.advance(serviceCalmMs);
    world.cancelServices();
  }
  const settles = outlastsCuts ? maxLastingSettles : maxSettles;
  for (let round = 0; round < settles && !isAllDone(world); round++) {
    if (checker.violations.length > 0) break;
    await clock.advance(settleMs);
  }
  await clock.advance(stopMs);
  if (checker.violations.length === 0) {
    const { directory } = world.newestKeeper;
    checker.checkEnd((id) => directory.state(id));
  }
  const { checks, jobs, violations } = checker;
  return { checks, jobs: jobs.size, violations, trace };
}

function isAllDone({ checker, newestKeeper }: HistoryWorld): boolean {
  for (const id of checker.jobs.keys()) {
    const state = newestKeeper.directory.state(id);
    if (state === undefined || state === "queued" || state === "running") {
      return false;
    }
  }
  return true;
}

function applyStep(world: HistoryWorld, { kind, a, b }: HistoryStep): void {
  const { checker, clock, newestKeeper: keeper } = world;
  const worker = world.workers[a % world.workers.length]!;
  const forMs = 300 + b * 8;
  const after = (ms: number, then: () => void) =>
    void clock.sleep(ms).then(then);
  switch (kind) {
    case "submit":
      return world.submit([newStep(1 + a % 3)]);
    case "submit_wide":
      return world.submit([newStep(5 + a % 6)]);
    case "submit_long": {
      const long = { savesProgress: true, expectedMs: longExpectedMs };
      return world.submit([{ ...newStep(2 + a % 4), ...long }]);
    }
    case "submit_lasting": {
      const { min, max } = lastingMs;
      const expectedMs = min + Math.floor((max - min) * b / 1_000);
      return world.submit([{ ...newStep(1 + a % 8), expectedMs }]);
    }
    case "return_runner":
      return worker.returnInPlace(
        maxReturnMs * (b % 32) / 31,
        maxUnheardMs * Math.floor(b / 32) / 31,
      );
    case "cut_off_runner":
      return worker.cutOff(
        b % 2 === 0 ? "calls" : "answers",
        minCutOffMs + (maxCutOffMs - minCutOffMs) * b / 1_000,
        b % 5 === 0,
      );
    case "submit_crashing":
      return world.submit([newStep(1 + a % 4)], true);
    case "submit_service":
      return world.submit([newService(a, b)]);
    case "leave_runner":
      return worker.leave(minDrainMs + b * 4, minAwayMs + b * 20);
    case "kill_keeper_at":
      world.killSwitch.armed = killPoints[a % killPoints.length];
      world.killedForMs = killedForMs[b % killedForMs.length]!;
      return;
    case "resize":
      return worker.resize(resizedMilli[b % resizedMilli.length]!);
    case "submit_chain":
      return world.submit([
        newStep(1 + a % 3),
        newStep(1 + b % 4, [0]),
      ]);
    case "cancel":
      return world.cancel(`j${a % Math.max(1, checker.jobs.size)}` as JobId);
    case "elect":
      return world.elect();
    case "pause_keeper":
      keeper.options.clock.pause();
      return after(forMs, () => keeper.options.clock.resume());
    case "suspend_keeper":
      keeper.options.clock.suspend();
      return after(forMs, () => keeper.options.clock.resume());
    case "evacuate": {
      const { zone } = worker;
      if (checker.isEvacuated(zone)) return;
      world.evacuate(zone);
      return after(maxEvacuationMs * b / 1_000, () => {
        if (checker.isEvacuated(zone)) world.evacuate(zone, false);
      });
    }
    case "kill_keeper":
      return world.killKeeper();
    case "restart_sidecar":
      return world.restartSidecar(worker, 50 + b);
    case "pause_sidecar": {
      const { sidecar } = worker;
      sidecar?.clock.pause();
      return after(forMs, () => sidecar?.clock.resume());
    }
    case "restart_runner":
      return worker.restartRunner();
    case "silence_runner":
      worker.silence(true);
      return after(forMs, () => worker.silence(false));
    case "cut_link":
      return world.cutLinks(worker, forMs);
    case "reset_link":
      return world.resetLinks(worker);
    case "lose_commands":
      for (let index = 0; index <= b % 6; index++) {
        worker.runner.faults.push(faults[(a + index * b) % faults.length]!);
      }
      return;
    case "cut_store":
      keeper.options.store.isCut = true;
      return after(forMs, () => keeper.options.store.isCut = false);
    case "lose_appends":
      world.losesAnswersUntilMs = clock.nowMs() + forMs;
      return;
    case "drain":
      return worker.drain();
    case "fail_task": {
      const [task] = worker.runner.running.keys();
      if (task !== undefined) worker.runner.end(task, "failed");
      return;
    }
  }
}

/** Capacities of a worker, from room for one task to its full size. */
const resizedMilli = [1_000, 2_000, 3_000, 4_000] as const;
const faults = ["lost", "late", "ignored"] as const;

/** A step of tasks that each take a quarter of a worker. */
function newStep(count: number, after: readonly number[] = []): StepDefinition {
  return plainStep({ count, after, expectedMs });
}

/** Some services spread over the workers, and the runs of some fail. */
function newService(a: number, b: number): StepDefinition {
  return plainStep({
    count: 1 + a % 3,
    isService: true,
    mostPerWorker: b % 2,
    image: b % 5 === 0 ? failingImage : undefined,
  });
}
