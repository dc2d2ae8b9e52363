import type { CellEffect } from "../core/cell/cell_effect.ts";
import { groupBy } from "./group_by.ts";
import type { KeeperLinks } from "./keeper_links.ts";

type StopEffect = Extract<CellEffect, { kind: "stop" }>;

/** Stops that are sent together, so that each worker gets one message. */
export class StopBatch {
  readonly #stops: StopEffect[] = [];

  add(stop: StopEffect): void {
    this.#stops.push(stop);
  }

  /** Sends the stops, and forgets them. */
  sendTo(links: KeeperLinks): void {
    const groups = groupBy(this.#stops.splice(0), ({ node }) => node);
    for (const [node, group] of groups) {
      const stops = group.map(({ task, run, life }) => ({ task, run, life }));
      links.send(node, { kind: "orders", starts: [], stops });
    }
  }
}
