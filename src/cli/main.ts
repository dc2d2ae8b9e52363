import yargs from "yargs";
import { GpError } from "../core/errors/gp_error.ts";
import { version } from "./version.ts";

const usageCode = 2;

/** Parses the command line and runs one command. */
async function main(): Promise<void> {
  await yargs(process.argv.slice(2))
    .scriptName("gypsumpond")
    .usage("$0 COMMAND [options]")
    .command(
      "entry",
      "run an entry, which accepts callers' requests",
      (y) =>
        y.option("settings", fileOption).example(
          "$0 entry --settings entry.jsonc",
          "",
        ),
      async ({ settings }) => {
        const { entryCommand } = await import("./entry_command.ts");
        await entryCommand(settings);
      },
    )
    .command(
      "sidecar",
      "run a sidecar, the process beside a runner",
      (y) =>
        y.option("settings", fileOption).example(
          "$0 sidecar --settings sidecar.jsonc",
          "",
        ),
      async ({ settings }) => {
        const { sidecarCommand } = await import("./sidecar_command.ts");
        await sidecarCommand(settings);
      },
    )
    .command(
      "check <file>",
      "check a configuration file without publishing it",
      (y) =>
        y.positional("file", fileArgument)
          .option("workers", {
            type: "string",
            describe:
              "a JSON list of workers' labels to check the selectors against",
          })
          .example("$0 check venture.jsonc", ""),
      async ({ file, workers }) => {
        const { checkCommand } = await import("./check_command.ts");
        checkCommand(file, workers);
      },
    )
    .command(
      "publish <file>",
      "publish a configuration file",
      (y) =>
        y.positional("file", fileArgument)
          .option("log", logOption)
          .option("by", {
            type: "string",
            demandOption: true,
            describe: "the operator's name",
          })
          .option("based-on", {
            type: "number",
            describe:
              "reject the change if its items changed after this revision",
          })
          .example(
            "$0 publish venture.jsonc --log 127.0.0.1:7000 --by ada",
            "",
          ),
      async ({ file, log, by, basedOn }) => {
        const { publishCommand } = await import("./publish_command.ts");
        await publishCommand({ file, log, by, basedOn });
      },
    )
    .command(
      "diff <file>",
      "show what publishing a file would change",
      (y) =>
        y.positional("file", fileArgument).option("log", logOption)
          .example("$0 diff venture.jsonc --log 127.0.0.1:7000", ""),
      async ({ file, log }) => {
        const { diffCommand } = await import("./diff_command.ts");
        await diffCommand(file, log);
      },
    )
    .command(
      "history",
      "show who changed the configuration, when and how",
      (y) =>
        y.option("log", logOption).example(
          "$0 history --log 127.0.0.1:7000",
          "",
        ),
      async ({ log }) => {
        const { historyCommand } = await import("./history_command.ts");
        await historyCommand(log);
      },
    )
    .command(
      "status",
      "show the processes and the revision each has in force",
      (y) =>
        y.option("entry", {
          type: "string",
          demandOption: true,
          describe: "an entry's address for callers, IP:PORT",
        }).example("$0 status --entry 127.0.0.1:8000", ""),
      async ({ entry }) => {
        const { statusCommand } = await import("./status_command.ts");
        await statusCommand(entry);
      },
    )
    .command(
      "explain <what>",
      "show the decisions about a job, task, worker or member",
      (y) =>
        y.positional("what", {
          type: "string",
          demandOption: true,
          describe: "the id of a job, task, worker or member",
        })
          .option("cell", cellOption)
          .option("log", logOption)
          .example(
            "$0 explain lagos-1.4f --cell lagos-1 --log 127.0.0.1:7000",
            "",
          ),
      async ({ what, cell, log }) => {
        const { explainCommand } = await import("./explain_command.ts");
        await explainCommand(what, cell, log);
      },
    )
    .command(
      "accounts",
      "show the resources each member used, by pool and term",
      (y) =>
        y.option("cell", { ...cellOption, type: "string", array: true })
          .option("log", logOption)
          .example("$0 accounts --cell lagos-1 --log 127.0.0.1:7000", ""),
      async ({ cell, log }) => {
        const { accountsCommand } = await import("./accounts_command.ts");
        await accountsCommand(cell, log);
      },
    )
    .demandCommand(1, "name a command")
    .strict()
    .version(version)
    .epilogue(
      "Exit codes: 0 done; 1 internal fault; 2 bad input; 3 conflict; " +
        "4 not found; 5 unavailable, retry later; 6 drain timed out; " +
        "7 ended by a second signal",
    )
    .fail((message, error) => {
      throw error ?? new GpError("usage", message);
    })
    .parseAsync();
}

const fileOption = {
  type: "string",
  demandOption: true,
  describe: "the settings file, JSON with comments",
} as const;

const fileArgument = {
  type: "string",
  demandOption: true,
  describe: "the configuration file, JSON with comments",
} as const;

const logOption = {
  type: "string",
  demandOption: true,
  describe: "the log's address, IP:PORT",
} as const;

const cellOption = {
  type: "string",
  demandOption: true,
  describe: "the cell's name",
} as const;

main().catch((cause) => {
  const error = GpError.from(cause);
  const code = error.descriptor.exitCode;
  process.stderr.write(`gypsumpond: ${error.kind}: ${error.message}\n`);
  if (code === usageCode && error.kind === "usage") {
    process.stderr.write("try gypsumpond --help\n");
  }
  process.exit(code);
});
