import type { ConfigItem } from "./config_item.ts";

/** The key that identifies an item. */
export function itemKey(item: ConfigItem): string {
  return `${item.kind}/${item.value.name}`;
}
