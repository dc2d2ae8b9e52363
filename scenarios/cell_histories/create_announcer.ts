import { Logger } from "../../src/adapters/logger.ts";
import type { NodeId } from "../../src/core/jobs/node_id.ts";
import { PeerAnnouncer } from "../../src/nodes/peer_announcer.ts";
import type { HistoryWorld } from "./history_world.ts";
import type { ProcessClock } from "./process_clock.ts";

const log = new Logger("silent", {});
const row = {
  role: "sidecar",
  host: "localhost",
  port: 1,
  incarnation: "",
  strength: 1,
} as const;

/** The part of a sidecar's process that stores its row of members. */
export function createAnnouncer(
  world: HistoryWorld,
  node: NodeId,
  clock: ProcessClock,
): PeerAnnouncer {
  const store = world.createStore(clock);
  return new PeerAnnouncer(store, node, row, () => true, clock, log);
}
