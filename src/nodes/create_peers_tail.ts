import type { Logger } from "../adapters/logger.ts";
import type { KeeperSession } from "../cellhost/keeper_session.ts";
import { nodeOfEndedLifeKey } from "../cellhost/node_of_ended_life_key.ts";
import { RowReader } from "../cellhost/row_reader.ts";
import { StreamTail } from "../cellhost/stream_tail.ts";
import { streams } from "../cellhost/streams.ts";
import type { Clock } from "../core/clock/clock.ts";
import type { NodeId } from "../core/jobs/node_id.ts";
import { EndedLifeRow } from "../schema/rows/ended_life_row.ts";
import { MemberRow } from "../schema/rows/member_row.ts";
import type { Store } from "../core/store/store.ts";
import type { StoredRow } from "../core/store/stored_row.ts";

const waitMs = 2_000;

/** Returns a tail that connects a keeper, by its node, to all other peers. */
export function createPeersTail(
  session: KeeperSession,
  keeper: NodeId,
  store: Store,
  log: Logger,
  clock?: Clock,
): StreamTail {
  const reader = new RowReader(streams.members, log);
  const options = { waitMs, pauseMs: 0 };
  const apply = (rows: readonly StoredRow[]) => {
    for (const row of rows) {
      if (row.key === keeper) continue;
      const endedNode = nodeOfEndedLifeKey(row.key);
      if (endedNode !== undefined) {
        const ended = reader.read(EndedLifeRow, row);
        if (ended === undefined) continue;
        const { life, before, isSettled: isEndSettled } = ended;
        const endedLives = [life, ...before];
        session.recordEndedLives(endedNode, { endedLives, isEndSettled });
        continue;
      }
      const member = reader.read(MemberRow, row);
      if (member !== undefined) session.setPeer(row.key as NodeId, member);
    }
  };
  return new StreamTail(store, streams.members, options, apply, log, clock);
}
