import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { runScenario } from "./language/run_scenario.ts";

/** Runs the scenario files named on the command line, or all of them. */
function main(): void {
  const folder = "scenarios/files";
  const named = process.argv.slice(2);
  const files = named.length > 0
    ? named
    : readdirSync(folder).sort().map((name) => join(folder, name));
  let failed = 0;
  for (const file of files) {
    const startedAtMs = performance.now();
    try {
      const simulation = runScenario(file, readFileSync(file, "utf8"));
      const tookMs = Math.round(performance.now() - startedAtMs);
      const { checks } = simulation.invariants;
      console.log(
        `ok   ${file} seed=${simulation.options.seed} checks=${checks} tookMs=${tookMs}`,
      );
    } catch (cause) {
      failed += 1;
      console.log(`FAIL ${cause instanceof Error ? cause.message : cause}`);
    }
  }
  console.log(`${files.length - failed} passed, ${failed} failed`);
  process.exitCode = failed > 0 ? 1 : 0;
}

main();
