import type { Configuration } from "../../schema/configuration.ts";
import type { ConfigItem } from "./config_item.ts";

/** Splits a configuration file into its items. */
export function* configurationItems(
  file: Configuration,
): Generator<ConfigItem> {
  const { venture: name, term } = file;
  yield { kind: "venture", value: { name, term } };
  for (const value of file.members) yield { kind: "member", value };
  for (const value of file.pools) yield { kind: "pool", value };
  for (const value of file.services) yield { kind: "service", value };
  for (const value of file.jobs) yield { kind: "job", value };
  for (const value of file.policies) yield { kind: "policy", value };
}
