import type { ContentionOptions } from "../core/queueing/contention_options.ts";
import type { UnevenLoad } from "../core/cell/uneven_load.ts";

/** What an entry does under high load; all off unless the settings ask. */
export interface HardLoad extends UnevenLoad, ContentionOptions {
  /** Holds submissions through the end of a store outage. */
  readonly holdsSubmissions: boolean;
}
