import { buildStart } from "../core/cell/build_start.ts";
import type { Worker } from "../core/cell/worker.ts";
import type { KeeperLink } from "./keeper_link.ts";

/**
 * Sends a sidecar the details of the runs claimed on its worker, for those that
 * it has found active. Payloads, which may be large, serve to start runs only,
 * and are left out.
 */
export function sendKnownRuns(link: KeeperLink, { claims }: Worker): void {
  const runs = [...claims.values()]
    .map((task) => ({ ...buildStart(task), payload: "" }));
  if (runs.length > 0) link.send({ kind: "known", runs });
}
