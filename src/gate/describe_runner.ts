import type { SidecarReport } from "../core/cell/sidecar_report.ts";
import { lifeOf } from "./life_of.ts";
import type { RunnerHeartbeat } from "./runner_heartbeat.ts";

/** What a report says of a runner by its last heartbeat alone. */
export function describeRunner(
  heartbeat: RunnerHeartbeat,
): Pick<
  SidecarReport,
  "life" | "pool" | "zone" | "rack" | "labels" | "capacity"
> {
  const { pool, zone, rack, labels, capacity } = heartbeat;
  return { life: lifeOf(heartbeat), pool, zone, rack, labels, capacity };
}
