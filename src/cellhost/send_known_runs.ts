import { buildStart } from "../core/cell/build_start.ts";
import type { Worker } from "../core/cell/worker.ts";
import type { KeeperLink } from "./keeper_link.ts";

/**
 * Sends a sidecar the details of the runs claimed on its worker. They have begun,
 * so their payloads, which may be large, are left out.
 */
export function sendKnownRuns(link: KeeperLink, { claims }: Worker): void {
  const runs = [...claims.values()]
    .map((task) => ({ ...buildStart(task), payload: "" }));
  if (runs.length > 0) link.send({ kind: "known", runs });
}
