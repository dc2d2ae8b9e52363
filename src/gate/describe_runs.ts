import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import { runKey } from "../core/jobs/run_key.ts";
import type { Run } from "./run.ts";

type Description = Required<
  Pick<SidecarReport, "unexplained" | "unsettled" | "startingUp">
>;

/** Describes a sidecar's runs to the keeper. */
export function describeRuns(runs: readonly Run[]): Description {
  return {
    unexplained: runs.filter(({ startCommand }) => startCommand === undefined)
      .length,
    unsettled: runs.filter(({ phase }) => phase !== "running").map(runKey),
    startingUp: runs
      .filter(({ hasBegun, hasStartedUp }) => hasBegun && !hasStartedUp)
      .map(runKey),
  };
}
