import type { ItemValues } from "./item_values.ts";

/** One published thing; each can be changed without touching the others. */
export type ConfigItem = {
  [K in keyof ItemValues]: { readonly kind: K; readonly value: ItemValues[K] };
}[keyof ItemValues];
