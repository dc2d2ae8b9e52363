import { configChange } from "../core/config/config_change.ts";
import { itemKey } from "../core/config/item_key.ts";
import { itemsOf } from "../core/config/items_of.ts";
import { loadConfiguration } from "./load_configuration.ts";
import { openLog } from "./open_log.ts";
import { print } from "./print.ts";
import { readConfig } from "./read_config.ts";

/** `gypsumpond diff`: prints what publishing a file would change. */
export async function diffCommand(
  file: string,
  logAddress: string,
): Promise<void> {
  const wanted = [...itemsOf(loadConfiguration(file))];
  const { state } = await openLog(logAddress, readConfig);
  const { puts, removes } = configChange(state, wanted);
  for (const item of puts) {
    const before = state.rows.get(itemKey(item))?.item.value;
    print(`- ${itemKey(item)} ${before ? JSON.stringify(before) : "absent"}`);
    print(`+ ${itemKey(item)} ${JSON.stringify(item.value)}`);
  }
  for (const key of removes) print(`- ${key}`);
  print(`changes=${puts.length + removes.length} revision=${state.revision}`);
}
