import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import type { Entry } from "./entry.ts";

/** Returns what `gypsumpond status` shows. */
export function describeStatus(entry: Entry): unknown {
  const nowMs = monotonicNowMs();
  const others = [...entry.node.peerTable.liveRows()];
  const processes = [
    { peer: entry.node.describeSelf(), heardAtMs: nowMs },
    ...others,
  ];
  return {
    configRevision: entry.node.config.state.revision,
    processes: processes.map(({ peer, heardAtMs }) => ({
      ...peer,
      heardMsAgo: Math.round(nowMs - heardAtMs),
    })),
    counts: entry.metrics.counts(),
  };
}
