import type { ConfigItem } from "./config_item.ts";
import type { ConfigImage } from "./config_image.ts";

/**
 * One record of the configuration stream: a published change, or a restatement
 * of the whole configuration, which outlives the changes that are trimmed.
 */
export type ConfigRecord =
  | {
    readonly kind: "published";
    /** Lets the publisher find its record in the log if no response came. */
    readonly id: string;
    readonly by: string;
    readonly atMs: number;
    /** The revision that the change was computed against. */
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
