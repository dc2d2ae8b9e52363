import type { LogPage } from "./log_page.ts";

/** The platform's append-only log. Calls fail with a GpError. */
export interface Log {
  /**
   * Appends the records as one batch and gives the first one's offset. Fails
   * with `log_unavailable` where nothing was appended, else `outcome_unknown`.
   */
  append(stream: string, records: readonly unknown[]): Promise<number>;
  /** Reads from the offset on; from `oldest` where that is later. */
  read(stream: string, from: number, max: number): Promise<LogPage>;
}
