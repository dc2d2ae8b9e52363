import { reservedResources } from "../core/cell/reserved_resources.ts";
import type { StartCommand } from "../core/cell/start_command.ts";
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
  command: StartCommand,
): boolean {
  let used = noResources;
  for (const run of runs) {
    if (run.startCommand === undefined) return false;
    used = addResources(used, reservedResources(run.startCommand));
  }
  return fits(reservedResources(command), subtractResources(capacity, used));
}
