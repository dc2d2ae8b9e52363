import type { Resources } from "../schema/resources.ts";
import { hasRoom } from "./has_room.ts";
import type { Run } from "./run.ts";

/**
 * The starts under way to give up so that the others fit beside all runs, the
 * newest first.
 */
export function startsWithoutRoom(
  capacity: Resources,
  runs: readonly Run[],
): Run[] {
  const kept = new Set(runs);
  const excess: Run[] = [];
  for (const run of [...runs].reverse()) {
    const { isStopRequested, phase, startCommand } = run;
    if (phase !== "starting" || isStopRequested) continue;
    if (startCommand === undefined) continue;
    kept.delete(run);
    if (hasRoom(capacity, [...kept], startCommand)) kept.add(run);
    else excess.push(run);
  }
  return excess;
}
