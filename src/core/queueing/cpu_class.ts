/**
 * Which CPU a task takes: what no task has reserved, or, for fillers, what the
 * other tasks leave unused.
 */
export type CpuClass = "reserved" | "filler";
