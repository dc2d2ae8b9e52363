import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../src/core/random/random_source.ts";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { CalmTracker } from "./calm_tracker.ts";
import { currentProgram } from "./current_program.ts";
import { drawLastingJob } from "./draw_lasting_job.ts";
import { GuaranteeChecker } from "./guarantee_checker.ts";
import { LastingChecker } from "./lasting_checker.ts";
import { LastingFaults } from "./lasting_faults.ts";
import { logLinesOfJob } from "./log_lines_of_job.ts";
import { soakConfiguration } from "./soak_configuration.ts";
import { SoakClient } from "./soak_client.ts";
import { SoakDeployment } from "./soak_deployment.ts";
import type { SoakJob } from "./soak_job.ts";
import type { SoakProcess } from "./soak_process.ts";
import type { SoakResult } from "./soak_result.ts";
import { taskNamesOf } from "./task_names_of.ts";

const startUpMs = 1_500;
const firstJobs = 7;
/** Before the first series, for the tasks that last to begin. */
const settleMs = 3_000;
/** After each series, longer than the users' bound. */
const calmMs = 9_600;
const observeIntervalMs = 100;
const submitIntervalMs = 1_200;
const queryIntervalMs = 300;
const cancelAttempts = 20;
const submitAttempts = 100;
const maxCancelAfterMs = 3_000;
/** How long a stop may take. */
const stopMs = 1_000;
/** Accepted jobs must end within this time after the last fault. */
const finishMs = 30_000;
const replacePauseMs = 300;
const maxJobsInNotes = 3;
/** Keep the series of random numbers apart. */
const seedOffsets = {
  faults: 3_000_003,
  jobs: 4_000_003,
  builds: 5_000_003,
  calls: 6_000_003,
};

interface LastingOptions {
  readonly seed: number;
  /** How many series of faults are injected. */
  readonly series: number;
  /**
   * The program of an older build. The processes run it or the current one, at
   * random, and in the last series all run the current one if the seed is
   * even, and the older one if it is odd.
   */
  readonly olderProgram?: string | undefined;
  readonly counts?: { readonly entries: number; readonly sidecars: number };
}

/**
 * Runs one seed of tasks that last: series of faults around runners that
 * leave, each followed by calm, in which the tasks must run again.
 */
export async function runLastingSoak(
  options: LastingOptions,
): Promise<SoakResult> {
  const { seed } = options;
  const folder = mkdtempSync(join(tmpdir(), `soak-lasting-${seed}-`));
  const checker = new GuaranteeChecker();
  const deployment = new SoakDeployment(
    seed,
    folder,
    checker,
    {},
    options.counts,
  );
  const notes: string[] = [];
  const calm = new CalmTracker();
  const lasting = new LastingChecker(
    checker,
    calm,
    deployment.runners,
    deployment.sidecars,
  );
  try {
    await play(deployment, checker, calm, lasting, options, notes);
  } finally {
    await deployment.close();
  }
  checker.checkFinalStates();
  const waiting = new Set(lasting.broken.map(({ job }) => job.id));
  for (const job of [...waiting].slice(0, maxJobsInNotes)) {
    notes.push(`the logs of ${job}:`, ...logLinesOfJob(folder, job));
  }
  notes.push(`longest wait in calm: ${Math.round(lasting.longestCalmWaitMs)}`);
  const jobs = [...checker.jobs.values()];
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
  calm: CalmTracker,
  lasting: LastingChecker,
  { seed, series, olderProgram }: LastingOptions,
  notes: string[],
): Promise<void> {
  const buildRandom = new SeededRandom(seed + seedOffsets.builds);
  const lastProgram = seed % 2 === 0 ? currentProgram : olderProgram;
  let isLast = false;
  const chooseProgram = (process: SoakProcess): void => {
    if (olderProgram === undefined) return;
    const program = buildRandom.next() < 0.5 ? currentProgram : olderProgram;
    process.program = isLast ? lastProgram ?? currentProgram : program;
  };
  for (const each of deployment.processes) chooseProgram(each);
  const startedAtMs = performance.now();
  const record = (line: string): void => {
    const atMs = Math.round(performance.now() - startedAtMs);
    notes.push(`${new Date().toISOString()} ${atMs} ms: ${line}`);
  };
  await deployment.start(soakConfiguration);
  await sleep(startUpMs);
  const jobRandom = new SeededRandom(seed + seedOffsets.jobs);
  const client = new SoakClient(
    deployment.fronts,
    checker,
    new SeededRandom(seed + seedOffsets.calls),
  );
  const prompt = new SoakClient(
    deployment.fronts,
    checker,
    new SeededRandom(seed),
    false,
  );
  const submissions: Promise<void>[] = [];
  const submitLasting = () =>
    submissions.push(client.handIn(drawLastingJob(jobRandom), submitAttempts));
  for (let index = 0; index < firstJobs; index++) submitLasting();
  const timers = [
    setInterval(() => submissions.push(prompt.submit()), submitIntervalMs),
    setInterval(() => {
      const known = lasting.broken.length;
      lasting.observe();
      // An older build may lack what the bound needs, so only notes are kept.
      const isBinding = deployment.processes
        .every(({ runs }) => runs === currentProgram);
      for (const { line } of lasting.broken.slice(known)) {
        record(line);
        if (isBinding) checker.violations.push(line);
      }
    }, observeIntervalMs),
  ];
  const faults = new LastingFaults(
    deployment,
    calm,
    new SeededRandom(seed + seedOffsets.faults),
    record,
    chooseProgram,
  );
  try {
    await sleep(settleMs);
    for (let index = 0; index < series; index++) {
      isLast = index === series - 1;
      if (olderProgram !== undefined) {
        await replaceAll(deployment, calm, chooseProgram);
        record(`processes were replaced, in the last series: ${isLast}`);
      }
      submitLasting();
      submissions.push(cancelOne(client, checker, jobRandom));
      await faults.runSeries();
      checker.isCalm = isLast;
      await sleep(calmMs);
    }
    await faults.finish();
    clearInterval(timers[0]);
    await Promise.all(submissions);
    record("all jobs that last are cancelled");
    await cancelLasting(client, checker);
    const untilMs = performance.now() + finishMs;
    while (performance.now() < untilMs && !await client.queryUnfinishedJobs()) {
      await sleep(queryIntervalMs);
    }
    await sleep(stopMs);
    checkStopped(checker);
  } finally {
    for (const timer of timers) clearInterval(timer);
  }
}

/** Replaces the processes one after the other, as an upgrade does. */
async function replaceAll(
  { processes }: SoakDeployment,
  calm: CalmTracker,
  chooseProgram: (process: SoakProcess) => void,
): Promise<void> {
  await calm.during(async () => {
    for (const process of processes) {
      chooseProgram(process);
      process.signal("SIGTERM");
      await sleep(replacePauseMs);
    }
    await sleep(calmMs);
  });
}

/** Cancels a random job that lasts during a series, so that runs are stopped. */
async function cancelOne(
  client: SoakClient,
  checker: GuaranteeChecker,
  random: RandomSource,
): Promise<void> {
  const jobs = lastingJobs(checker).filter(({ isCancelled }) => !isCancelled);
  const job = jobs[Math.floor(random.next() * jobs.length)];
  const afterMs = random.next() * maxCancelAfterMs;
  if (job === undefined) return;
  await sleep(afterMs);
  await client.cancel(job);
}

/** No task of a cancelled job may still run. */
function checkStopped(checker: GuaranteeChecker): void {
  for (const job of lastingJobs(checker)) {
    for (const step of job.steps.keys()) {
      for (const task of taskNamesOf(job, step)) {
        if (checker.isRunning(task)) checker.fail("unasked run", task);
      }
    }
  }
}

function lastingJobs({ jobs }: GuaranteeChecker): SoakJob[] {
  return [...jobs.values()].filter(({ isAccepted, steps }) =>
    isAccepted && steps.some(({ lasts }) => lasts)
  );
}

async function cancelLasting(
  client: SoakClient,
  checker: GuaranteeChecker,
): Promise<void> {
  for (const job of lastingJobs(checker)) {
    for (let attempt = 0; attempt < cancelAttempts; attempt++) {
      if (await client.cancel(job)) break;
    }
  }
}
