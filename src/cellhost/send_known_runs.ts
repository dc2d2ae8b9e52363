import { buildStart } from "../core/cell/build_start.ts";
import type { Worker } from "../core/cell/worker.ts";
import type { KeeperLink } from "./keeper_link.ts";

/** Sends a sidecar the details of the runs claimed on its worker. */
export function sendKnownRuns(link: KeeperLink, { claims }: Worker): void {
  const runs = [...claims.values()].map(buildStart);
  if (runs.length > 0) link.send({ kind: "known", runs });
}
