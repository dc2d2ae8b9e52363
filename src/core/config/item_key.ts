import type { ConfigItem } from "./config_item.ts";

/** The key by which an item is put, replaced and removed. */
export function itemKey(item: ConfigItem): string {
  return `${item.kind}/${item.value.name}`;
}
