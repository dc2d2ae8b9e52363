import * as v from "valibot";
import { configurationItems } from "../core/config/configuration_items.ts";
import { Labels } from "../schema/labels.ts";
import { loadFile } from "../settings/load_file.ts";
import { configurationWarnings } from "./configuration_warnings.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { print } from "./print.ts";

/** `gypsumpond check`: checks a configuration file without publishing it. */
export function checkCommand(file: string, workersFile?: string): void {
  const configuration = loadConfiguration(file);
  const workers = workersFile === undefined
    ? []
    : loadFile(workersFile, v.array(Labels), "bad_configuration");
  const warnings = configurationWarnings(configuration, workers, Date.now());
  for (const warning of warnings) print(`${file}: warning: ${warning}`);
  const items = [...configurationItems(configuration)].length;
  print(`${file}: ok, ${items} items`);
}
