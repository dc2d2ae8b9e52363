import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { currentProgram } from "./current_program.ts";
import { drawRecutRound } from "./draw_recut_round.ts";
import { GuaranteeChecker } from "./guarantee_checker.ts";
import { logLinesOfJob } from "./log_lines_of_job.ts";
import { RecutFaults } from "./recut_faults.ts";
import type { RecutRound } from "./recut_round.ts";
import { soakConfiguration } from "./soak_configuration.ts";
import { SoakClient } from "./soak_client.ts";
import { SoakDeployment } from "./soak_deployment.ts";
import type { SoakProcess } from "./soak_process.ts";
import type { SoakResult } from "./soak_result.ts";

const startUpMs = 2_000;
/** Between two rounds, or while processes are replaced. */
const calmMs = 1_000;
const replacePauseMs = 300;
const queryIntervalMs = 300;
/** Accepted jobs must end within this time after the last fault. */
const finishMs = 40_000;
const submitAttempts = 20;
/** How many broken tasks the notes explain. */
const maxTasksInNotes = 3;
/** Keep the series of random numbers apart. */
const seedOffsets = { rounds: 7_000_003, builds: 8_000_003 };

interface RecutOptions {
  readonly seed: number;
  readonly rounds: number;
  /**
   * The program of an older build: the processes run it or the current one, at
   * random.
   */
  readonly olderProgram?: string | undefined;
  readonly counts?: { readonly entries: number; readonly sidecars: number };
}

/**
 * Runs one seed of runners that are back under their ids and cut off soon
 * after, while starts of tasks that outlast it are under way.
 */
export async function runRecutSoak(options: RecutOptions): Promise<SoakResult> {
  const { seed, rounds, counts } = options;
  const folder = mkdtempSync(join(tmpdir(), `soak-recut-${seed}-`));
  const checker = new GuaranteeChecker();
  const deployment = new SoakDeployment(seed, folder, checker, {}, counts);
  const random = new SeededRandom(seed + seedOffsets.rounds);
  const plan = Array.from(
    { length: rounds },
    () => drawRecutRound(random, deployment.runners.length),
  );
  const notes: string[] = [];
  try {
    await play(deployment, checker, plan, options, notes);
  } finally {
    await deployment.close();
  }
  checker.checkFinalStates();
  const broken = brokenTasks(checker);
  const runs = new Map(broken.map((task) => {
    const lines = deployment.runners
      .flatMap(({ observer }) => observer.trace.linesOf(task)).sort();
    return [task, [`the runs of ${task}:`, ...lines]];
  }));
  for (const [task, lines] of [...runs].slice(0, maxTasksInNotes)) {
    notes.push(...lines);
    notes.push(`the logs of ${task}:`, ...logLinesOfJob(folder, task));
  }
  const report = [
    ...notes,
    ...checker.violations,
    ...[...runs.values()].flat(),
  ];
  writeFileSync(join(folder, "notes.txt"), report.join("\n"));
  const jobs = [...checker.jobs.values()];
  const tasks = jobs.flatMap(({ steps }) => steps)
    .reduce((sum, { count }) => sum + count, 0);
  notes.push(`${tasks} tasks, ${broken.length} of them broken`);
  return {
    broken: checker.violations,
    jobs: jobs.length,
    accepted: jobs.filter(({ isAccepted }) => isAccepted).length,
    notes,
    folder,
  };
}

async function play(
  deployment: SoakDeployment,
  checker: GuaranteeChecker,
  plan: readonly RecutRound[],
  { seed, olderProgram }: RecutOptions,
  notes: string[],
): Promise<void> {
  const startedAtMs = performance.now();
  const record = (line: string): void => {
    const atMs = Math.round(performance.now() - startedAtMs);
    notes.push(`${new Date().toISOString()} ${atMs} ms: ${line}`);
  };
  const buildRandom = new SeededRandom(seed + seedOffsets.builds);
  const chooseProgram = (process: SoakProcess): void => {
    if (olderProgram === undefined) return;
    const isCurrent = buildRandom.next() < 0.5;
    process.program = isCurrent ? currentProgram : olderProgram;
    record(`${process.name} will run the ${isCurrent ? "" : "older "}build`);
  };
  for (const each of deployment.processes) chooseProgram(each);
  await deployment.start(soakConfiguration);
  await sleep(startUpMs);
  const client = new SoakClient(
    deployment.fronts,
    checker,
    new SeededRandom(seed),
  );
  const faults = new RecutFaults(deployment, record, chooseProgram);
  for (const [index, round] of plan.entries()) {
    record(`round ${index + 1}`);
    if (olderProgram !== undefined && index > 0) {
      for (const process of deployment.processes) {
        chooseProgram(process);
        process.signal("SIGTERM");
        await sleep(replacePauseMs);
      }
      await sleep(calmMs);
    }
    const submissions = round.submissions.map(async ({ atMs, job }) => {
      await sleep(atMs);
      await client.handIn(job, submitAttempts);
    });
    await Promise.all([faults.play(round), ...submissions]);
    await sleep(calmMs);
  }
  checker.isCalm = true;
  const untilMs = performance.now() + finishMs;
  while (performance.now() < untilMs && !await client.queryUnfinishedJobs()) {
    await sleep(queryIntervalMs);
  }
}

/** The tasks that violations name. */
function brokenTasks({ violations }: GuaranteeChecker): string[] {
  const names = violations.map((line) =>
    /[0-9a-f]{16}\.\d+\.\d+\.\d+/.exec(line)?.[0]
  );
  return [...new Set(names.filter((name) => name !== undefined))];
}
