import type { Cell } from "../core/cell/cell.ts";
import type { JobDirectory } from "./job_directory.ts";
import type { KeeperLink } from "./keeper_link.ts";

/** Sends an entry the states of all jobs. */
export function sendStates(
  link: KeeperLink,
  cell: Cell,
  directory: JobDirectory,
): void {
  const jobs = [...cell.jobs.keys()]
    .map((id) => [id, directory.state(id)!] as const);
  link.send({ kind: "states", jobs });
}
