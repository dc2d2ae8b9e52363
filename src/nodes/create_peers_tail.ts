import type { Logger } from "../adapters/logger.ts";
import type { KeeperSession } from "../cellhost/keeper_session.ts";
import { parseJsonRow } from "../cellhost/parse_json_row.ts";
import type { PeerAddressRow } from "../cellhost/peer_address_row.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";
import { streams } from "../cellhost/streams.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Store } from "../core/store/store.ts";

const waitMs = 2_000;

/** Returns a tail that connects a keeper, by its node, to all other peers. */
export function createPeersTail(
  session: KeeperSession,
  keeper: NodeId,
  store: Store,
  log: Logger,
): StreamTail {
  const options = { waitMs, pauseMs: 0 };
  return new StreamTail(store, streams.members, options, (rows) => {
    for (const { key, value } of rows) {
      if (value === undefined || key === keeper) continue;
      const row = parseJsonRow<PeerAddressRow>(value, key, log);
      if (row !== undefined) session.setPeer(key as NodeId, row);
    }
  }, log);
}
