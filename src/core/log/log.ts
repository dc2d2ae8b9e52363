import type { LogPage } from "./log_page.ts";

/** The platform's append-only log. Calls fail with a GpError. */
export interface Log {
  /**
   * Appends the records as one batch and returns the offset of the first. Fails
   * with `log_unavailable` if nothing was appended, `outcome_unknown` if it may
   * have been.
   */
  append(stream: string, records: readonly unknown[]): Promise<number>;
  /** Reads from the offset on, or from the oldest one kept if that is later. */
  read(stream: string, from: number, max: number): Promise<LogPage>;
}
