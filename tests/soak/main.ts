import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { play } from "./play.ts";

const msPerSecond = 1_000;

const options = await yargs(hideBin(process.argv))
  .option("seed", { type: "number", default: 1, describe: "the first seed" })
  .option("seeds", { type: "number", default: 1, describe: "how many seeds" })
  .option("seconds", {
    type: "number",
    default: 12,
    describe: "how long faults happen, each seed",
  })
  .strict()
  .parse();

let failed = 0;
for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
  const { broken, jobs, accepted, notes, folder } = await play(
    seed,
    options.seconds * msPerSecond,
  );
  // A day on which nothing was served shows nothing.
  const isShown = accepted * 2 >= jobs;
  const word = broken.length > 0 ? "BROKEN" : isShown ? "kept" : "NOT SERVED";
  console.log(`seed ${seed}: ${word}, ${jobs} jobs, ${accepted} accepted`);
  if (broken.length === 0 && isShown) continue;
  failed += 1;
  for (const line of [...notes, ...broken]) console.log(`  ${line}`);
  console.log(`  logs of its processes: ${folder}`);
}
process.exitCode = failed === 0 ? 0 : 1;
