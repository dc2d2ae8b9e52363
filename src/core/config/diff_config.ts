import type { ConfigDelta } from "./config_delta.ts";
import type { ConfigItem } from "./config_item.ts";
import type { ConfigState } from "./config_state.ts";
import { itemKey } from "./item_key.ts";

/** Returns the change that turns the state into the wanted items. */
export function diffConfig(
  state: ConfigState,
  wanted: readonly ConfigItem[],
): ConfigDelta {
  const wantedKeys = new Set(wanted.map(itemKey));
  const puts = wanted.filter((item) => {
    const row = state.rows.get(itemKey(item));
    return JSON.stringify(row?.item) !== JSON.stringify(item);
  });
  const removes = [...state.rows.keys()].filter((key) => !wantedKeys.has(key));
  return { puts, removes };
}
