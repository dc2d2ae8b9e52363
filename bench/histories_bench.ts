import { runHistory } from "../scenarios/histories/run_history.ts";

/** Arguments: number of histories, first seed, limit of the run in ms. */
const histories = Number(process.argv[2] ?? 10_000);
const firstSeed = Number(process.argv[3] ?? 1);
const maxDurationMs = Number(process.argv[4] ?? 540_000);

/** Runs many random histories and counts the checks; stops after 3 failures. */
function main(): void {
  const startedAtMs = performance.now();
  let checks = 0;
  let accepted = 0;
  let failed = 0;
  let done = 0;
  for (let seed = firstSeed; seed < firstSeed + histories; seed++) {
    if (performance.now() - startedAtMs > maxDurationMs) break;
    done += 1;
    try {
      const simulation = runHistory(seed);
      checks += simulation.invariants.checks;
      accepted += simulation.acceptedJobs.size;
    } catch (cause) {
      failed += 1;
      console.log(cause instanceof Error ? cause.message : cause);
      if (failed >= 3) break;
    }
  }
  const tookS = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  console.log(
    `histories=${done} seeds=${firstSeed}..${firstSeed + done - 1} ` +
      `checks=${checks} jobs=${accepted} failed=${failed} tookS=${tookS}`,
  );
  process.exitCode = failed > 0 ? 1 : 0;
}

main();
