/** The clocks of a process; tests replace them. */
export interface Clock {
  /** Monotonic time; it may pause while the machine is suspended. */
  nowMs(): number;
  /** Wall-clock time; it may differ between machines, and jump. */
  wallMs(): number;
  sleep(ms: number): Promise<void>;
  /** Resolves once the input that is already there has been handled. */
  nextTurn(): Promise<void>;
}
