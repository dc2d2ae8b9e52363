import type { ConfigItem } from "./config_item.ts";

/** What has to be put and removed to come from one state to a set of items. */
export interface ConfigDelta {
  readonly puts: readonly ConfigItem[];
  readonly removes: readonly string[];
}
