import { diffConfig } from "../core/config/diff_config.ts";
import { itemKey } from "../core/config/item_key.ts";
import { configurationItems } from "../core/config/configuration_items.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { withLog } from "./with_log.ts";
import { print } from "./print.ts";
import { readConfig } from "./read_config.ts";

/** `gypsumpond diff`: prints what publishing a file would change. */
export async function diffCommand(
  file: string,
  logAddress: string,
): Promise<void> {
  const wanted = [...configurationItems(loadConfiguration(file))];
  const { state } = await withLog(logAddress, readConfig);
  const { puts, removes } = diffConfig(state, wanted);
  for (const item of puts) {
    const before = state.rows.get(itemKey(item))?.item.value;
    print(`- ${itemKey(item)} ${before ? JSON.stringify(before) : "absent"}`);
    print(`+ ${itemKey(item)} ${JSON.stringify(item.value)}`);
  }
  for (const key of removes) print(`- ${key}`);
  print(`changes=${puts.length + removes.length} revision=${state.revision}`);
}
