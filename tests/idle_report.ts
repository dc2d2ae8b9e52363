import type { SidecarReport } from "../src/core/cell/sidecar_report.ts";
import type { RunnerLife } from "../src/core/jobs/runner_life.ts";

const bytesPerMb = 1_048_576;

/** The report of a worker of four cores that runs nothing, but for a change. */
export function idleReport(
  node: string,
  change: Partial<SidecarReport> = {},
): SidecarReport {
  return {
    life: `${node}@1` as RunnerLife,
    pool: "pool",
    zone: "z",
    rack: "r1",
    labels: ["a", "r1"],
    capacity: {
      cpuMilli: 4_000,
      memoryBytes: 4_000 * bytesPerMb,
      accelerators: 0,
    },
    isDraining: false,
    isUp: true,
    isPredecessorSettled: true,
    isLapsed: false,
    running: [],
    ends: [],
    unexplained: 0,
    unsettled: [],
    ...change,
  };
}
