import type { ConfigItem } from "./config_item.ts";
import { itemKey } from "./item_key.ts";

/** Yields why a set of items is invalid as a whole. */
export function* configProblems(
  items: readonly ConfigItem[],
): Generator<string> {
  const keys = new Set<string>();
  for (const item of items) {
    const key = itemKey(item);
    if (keys.has(key)) yield `${key} stands twice`;
    keys.add(key);
  }
  for (const item of items) {
    if (item.kind !== "job") continue;
    const pool = `pool/${item.value.pool}`;
    if (!keys.has(pool)) {
      yield `${itemKey(item)} needs ${pool}, which is absent`;
    }
  }
  const shares = items
    .filter((item) => item.kind === "member")
    .reduce((sum, item) => sum + item.value.quotaShare, 0);
  // The margin allows for rounding errors in the sum.
  if (shares > 1 + 1e-9) yield `quotas add up to ${shares}, over 1`;
}
