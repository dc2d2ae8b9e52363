import type { Argv } from "yargs";
import type { Store } from "../core/store/store.ts";
import { exitCodes } from "./exit_codes.ts";
import { readEvacuations } from "./read_evacuations.ts";
import { writeEvacuation } from "./write_evacuation.ts";

/** Adds the commands that evacuate data centres. */
export function addEvacuationCommands(
  commands: Argv,
  storeOption: { type: "string"; demandOption: true; describe: string },
  openStore: (address: string) => Store,
): Argv {
  return commands.command(
    "evacuate <zone>",
    "let nothing start in a data centre, and move what can be moved",
    (y) =>
      y.option("store", storeOption)
        .positional("zone", { type: "string", demandOption: true })
        .option("undo", {
          type: "boolean",
          default: false,
          describe: "revoke the evacuation",
        }),
    async ({ store, zone, undo }) => {
      const { text, exitCode } = await writeEvacuation(
        openStore(store),
        zone,
        !undo,
        Date.now(),
      );
      if (exitCode === exitCodes.done) console.log(text);
      else console.error(text);
      process.exitCode = exitCode;
    },
  ).command(
    "evacuations",
    "show the data centres to evacuate, and how far that is",
    (y) => y.option("store", storeOption),
    async ({ store }) => {
      const read = await readEvacuations(openStore(store));
      if (read.isOk) console.log(JSON.stringify(read.value, undefined, 2));
      else {
        const detail = JSON.stringify(read.error);
        console.error(`the store cannot be read: ${detail}`);
        process.exitCode = exitCodes.storeUnreachable;
      }
    },
  );
}
