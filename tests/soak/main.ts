import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { buildCommit } from "./build_commit.ts";
import { runLastingSoak } from "./run_lasting_soak.ts";
import { runRecutSoak } from "./run_recut_soak.ts";
import { runSoak } from "./run_soak.ts";
import type { SoakResult } from "./soak_result.ts";

const msPerSecond = 1_000;

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "the first seed" })
  .option("seeds", { type: "number", default: 1, describe: "how many seeds" })
  .option("seconds", {
    type: "number",
    default: 12,
    describe: "how long faults are injected for each seed",
  })
  .option("series", {
    type: "number",
    default: 0,
    describe: "plays tasks that last and so many series of faults instead",
  })
  .option("recut", {
    type: "number",
    default: 0,
    describe: "plays so many rounds of runners that are back under their ids " +
      "and cut off soon after instead",
  })
  .option("entries", { type: "number", default: 3 })
  .option("sidecars", { type: "number", default: 4 })
  .option("production", {
    type: "string",
    describe: "a commit; its build and this one replace each other in turn",
  })
  .strict()
  .parse();

const { production } = options;
const olderProgram = production === undefined
  ? undefined
  : buildCommit(production);
if (production !== undefined && olderProgram === undefined) {
  throw new Error(`this repository has no commit ${production}`);
}

const { recut, series, seconds } = options;
const runSeed = async (seed: number): Promise<SoakResult> => {
  const shared = { seed, olderProgram, counts: options };
  if (recut > 0) return await runRecutSoak({ ...shared, rounds: recut });
  if (series > 0) return await runLastingSoak({ ...shared, series });
  return await runSoak(seed, seconds * msPerSecond, olderProgram);
};

let failed = 0;
for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
  const result = await runSeed(seed);
  const { broken, jobs, accepted, notes, folder } = result;
  // A run in which most jobs were not accepted proves little.
  const isConclusive = accepted * 2 >= jobs;
  const verdict = broken.length > 0
    ? "FAILED"
    : isConclusive
    ? "passed"
    : "INCONCLUSIVE";
  console.log(`seed ${seed}: ${verdict}, ${jobs} jobs, ${accepted} accepted`);
  if (recut > 0 || series > 0) console.log(`  ${notes.at(-1)}`);
  if (broken.length === 0 && isConclusive) continue;
  failed += 1;
  for (const line of [...notes, ...broken]) console.log(`  ${line}`);
  console.log(`  process logs: ${folder}`);
}
process.exitCode = failed === 0 ? 0 : 1;
