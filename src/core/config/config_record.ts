import type { ConfigItem } from "./config_item.ts";
import type { ConfigImage } from "./config_image.ts";

/** One record of the configuration stream. */
export type ConfigRecord =
  | {
    readonly kind: "published";
    /** Lets the writer find its own record after a lost answer. */
    readonly id: string;
    readonly by: string;
    readonly atMs: number;
    /** The revision that the change was worked out against. */
    readonly basedOn: number;
    readonly puts: readonly ConfigItem[];
    readonly removes: readonly string[];
  }
  | {
    readonly kind: "restated";
    readonly id: string;
    readonly by: string;
    readonly atMs: number;
    readonly image: ConfigImage;
  };
