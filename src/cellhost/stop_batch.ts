import type { CellEffect } from "../core/cell/cell_effect.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { StopCommand } from "../link/stop_command.ts";
import type { KeeperLinks } from "./keeper_links.ts";

/** Stop commands grouped by worker, so that each worker gets one message. */
export class StopBatch {
  readonly #stops = new Map<NodeId, StopCommand[]>();

  add({ node, task, run, life }: Extract<CellEffect, { kind: "stop" }>): void {
    const command = { task, run, life };
    const known = this.#stops.get(node);
    if (known === undefined) this.#stops.set(node, [command]);
    else known.push(command);
  }

  /** Sends the stops, and forgets them. */
  sendTo(links: KeeperLinks): void {
    for (const [node, stops] of this.#stops) {
      links.send(node, { kind: "orders", starts: [], stops });
    }
    this.#stops.clear();
  }
}
