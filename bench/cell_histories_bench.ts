import { historyOfSeed } from "../scenarios/cell_histories/history_of_seed.ts";
import { runCellHistory } from "../scenarios/cell_histories/run_cell_history.ts";
import { shrinkHistory } from "../scenarios/cell_histories/shrink_history.ts";

/** Arguments: number of histories, first seed, limit of the run in ms. */
const histories = Number(process.argv[2] ?? 10_000);
const firstSeed = Number(process.argv[3] ?? 1);
const maxDurationMs = Number(process.argv[4] ?? 540_000);
const maxFailures = 3;
const traceLines = 60;

/** Runs random histories of the deployed design; prints those that fail. */
async function main(): Promise<void> {
  const startedAtMs = performance.now();
  let checks = 0;
  let jobs = 0;
  let failed = 0;
  let done = 0;
  for (let seed = firstSeed; seed < firstSeed + histories; seed++) {
    if (performance.now() - startedAtMs > maxDurationMs) break;
    done += 1;
    const result = await runCellHistory(seed);
    checks += result.checks;
    jobs += result.jobs;
    if (result.violations.length === 0) continue;
    failed += 1;
    await printFailure(seed, result.violations[0]!);
    if (failed >= maxFailures) break;
  }
  const tookS = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  console.log(
    `histories=${done} seeds=${firstSeed}..${firstSeed + done - 1} ` +
      `checks=${checks} jobs=${jobs} failed=${failed} tookS=${tookS}`,
  );
  process.exitCode = failed > 0 ? 1 : 0;
}

async function printFailure(seed: number, violation: string): Promise<void> {
  console.log(`seed ${seed}: ${violation}`);
  const [rule] = violation.split(":");
  const steps = historyOfSeed(seed);
  const shortest = await shrinkHistory(seed, steps, `${rule}:`);
  const { trace, violations } = await runCellHistory(seed, shortest);
  console.log(`shortest: ${violations[0]}`);
  for (const step of shortest) console.log(`  ${JSON.stringify(step)}`);
  for (const line of trace.slice(-traceLines)) console.log(`  ${line}`);
}

await main();
