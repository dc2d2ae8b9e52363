/**
 * Whether a worker is avoided for its speed. One that was slow, and has since
 * shown nothing, is probed with one task at a time.
 */
export type SpeedState = "normal" | "slow" | "probing";
