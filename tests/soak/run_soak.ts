import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "../../stand_ins/seeded_random.ts";
import { SoakClient } from "./soak_client.ts";
import { FaultInjector } from "./fault_injector.ts";
import { SoakDeployment } from "./soak_deployment.ts";
import { currentProgram } from "./current_program.ts";
import { RollingUpgrade } from "./rolling_upgrade.ts";
import { GuaranteeChecker } from "./guarantee_checker.ts";
import { soakConfiguration } from "./soak_configuration.ts";
import type { SoakResult } from "./soak_result.ts";

const submitIntervalMs = 250;
const queryIntervalMs = 300;
/** Time for the processes to start before the first job is submitted. */
const startUpMs = 1_500;
/** Accepted jobs must end within this time after the last fault. */
const finishMs = 30_000;
/** Keeps the random series of the faults apart from that of the client. */
const faultSeedOffset = 1_000_003;
const upgradeSeedOffset = 2_000_003;

/**
 * Runs one seed: real processes on loopback under load and faults, then a time
 * without faults in which all jobs should end.
 */
export async function runSoak(
  seed: number,
  faultsMs: number,
  /** The program of an older build, which the processes begin with. */
  olderProgram?: string,
): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const checker = new GuaranteeChecker();
  const deployment = new SoakDeployment(seed, folder, checker);
  const notes: string[] = [];
  try {
    if (olderProgram !== undefined) {
      for (const each of deployment.processes) each.program = olderProgram;
    }
    await deployment.start(soakConfiguration);
    await sleep(startUpMs);
    await runLoad(deployment, checker, seed, faultsMs, notes, olderProgram);
  } finally {
    await deployment.close();
  }
  checker.checkFinalStates();
  const jobs = [...checker.jobs.values()];
  const accepted = jobs.filter(({ isAccepted }) => isAccepted).length;
  return {
    broken: checker.violations,
    jobs: jobs.length,
    accepted,
    notes,
    folder,
  };
}

async function runLoad(
  { store, runners, processes, fronts }: SoakDeployment,
  checker: GuaranteeChecker,
  seed: number,
  faultsMs: number,
  notes: string[],
  olderProgram: string | undefined,
): Promise<void> {
  const startedAtMs = performance.now();
  const recordFault = (line: string) =>
    notes.push(`${Math.round(performance.now() - startedAtMs)} ms: ${line}`);
  const client = new SoakClient(fronts, checker, new SeededRandom(seed));
  const faultRandom = new SeededRandom(seed + faultSeedOffset);
  const injector = new FaultInjector(
    store,
    runners,
    processes,
    faultRandom,
    recordFault,
  );
  const submissions: Promise<void>[] = [];
  const submitTimer = setInterval(
    () => submissions.push(client.submit()),
    submitIntervalMs,
  );
  const upgrade = olderProgram === undefined ? undefined : new RollingUpgrade(
    processes,
    [olderProgram, currentProgram],
    new SeededRandom(seed + upgradeSeedOffset),
    recordFault,
  );
  await Promise.all([injector.run(faultsMs), upgrade?.run(faultsMs)]);
  checker.isCalm = true;
  clearInterval(submitTimer);
  await Promise.all(submissions);
  const untilMs = performance.now() + finishMs;
  while (performance.now() < untilMs && !await client.queryUnfinishedJobs()) {
    await sleep(queryIntervalMs);
  }
}
