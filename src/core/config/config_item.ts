import type { ItemValues } from "./item_values.ts";

/** The unit of configuration: each item is put or removed on its own. */
export type ConfigItem = {
  [K in keyof ItemValues]: { readonly kind: K; readonly value: ItemValues[K] };
}[keyof ItemValues];
