import type { ConfigItem } from "./config_item.ts";

/** The items to put and the keys to remove to turn one state into another. */
export interface ConfigDelta {
  readonly puts: readonly ConfigItem[];
  readonly removes: readonly string[];
}
