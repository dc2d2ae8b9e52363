import { configProblems } from "../core/config/config_problems.ts";
import { configurationItems } from "../core/config/configuration_items.ts";
import { GpError } from "../core/errors/gp_error.ts";
import { Configuration } from "../schema/configuration.ts";
import { loadFile } from "../settings/load_file.ts";

/** Reads a configuration file and checks that it is valid as a whole. */
export function loadConfiguration(file: string): Configuration {
  const loaded = loadFile(file, Configuration, "bad_configuration");
  const problems = [...configProblems([...configurationItems(loaded)])];
  if (problems.length > 0) {
    const lines = problems.map((problem) => `${file}: ${problem}`);
    throw new GpError("bad_configuration", lines.join("\n"));
  }
  return loaded;
}
