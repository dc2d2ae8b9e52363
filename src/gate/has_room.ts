import { roomOf } from "../core/cell/room_of.ts";
import type { StartOrder } from "../core/cell/start_order.ts";
import { addResources } from "../core/resources/add_resources.ts";
import { fits } from "../core/resources/fits.ts";
import { subtractResources } from "../core/resources/subtract_resources.ts";
import { noResources } from "../core/resources/no_resources.ts";
import type { Resources } from "../schema/resources.ts";
import type { Run } from "./run.ts";

/**
 * Whether the run to start fits beside all present runs. Always false beside a
 * run whose start command, and so its size, is not known.
 */
export function hasRoom(
  capacity: Resources,
  runs: readonly Run[],
  command: StartOrder,
): boolean {
  let used = noResources;
  for (const run of runs) {
    if (run.order === undefined) return false;
    used = addResources(used, roomOf(run.order));
  }
  return fits(roomOf(command), subtractResources(capacity, used));
}
