import { setTimeout as sleep } from "node:timers/promises";
import type { NodeId } from "../core/jobs/node_id.ts";
import type { Store } from "../core/store/store.ts";
import type { Logger } from "../adapters/logger.ts";
import type { PeerAddressRow } from "../cellhost/peer_address_row.ts";
import { streams } from "../cellhost/streams.ts";

const appendTimeoutMs = 1_000;
const retryPauseMs = 150;
/** A failure is logged at the first attempt and then at each of this many. */
const attemptsPerLog = 20;

/** Stores the address at which this process accepts its keeper's connection. */
export async function announcePeer(
  store: Store,
  node: NodeId,
  row: PeerAddressRow,
  log: Logger,
): Promise<void> {
  const rows = [{ key: node, value: JSON.stringify(row) }];
  for (let attempt = 1;; attempt++) {
    const result = await store.append(
      streams.members,
      rows,
      { kind: "none" },
      appendTimeoutMs,
    );
    if (result.isOk) {
      log.info("member_announced", { attempt });
      return;
    }
    if (attempt % attemptsPerLog === 1) {
      log.warn("member_unannounced", { attempt, reason: result.error.kind });
    }
    await sleep(retryPauseMs);
  }
}
