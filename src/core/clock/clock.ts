/** Time as a process sees it. */
export interface Clock {
  /** The steady clock; it may stand while the machine is suspended. */
  nowMs(): number;
  /** The time of day; it may differ between machines, and jump. */
  wallMs(): number;
  sleep(ms: number): Promise<void>;
}
