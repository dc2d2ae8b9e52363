import type { ConfigItem } from "./config_item.ts";

/** An item in force, with the revision and the operator that put it. */
export interface ConfigRow {
  readonly item: ConfigItem;
  readonly revision: number;
  readonly by: string;
}
