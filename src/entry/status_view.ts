import { monotonicNowMs } from "../adapters/monotonic_now_ms.ts";
import type { Entry } from "./entry.ts";

/** What `gypsumpond status` shows. */
export function statusView(entry: Entry): unknown {
  const nowMs = monotonicNowMs();
  const rows = [...entry.node.members.live()];
  const all = [
    { peer: entry.node.self(), heardAtMs: nowMs },
    ...rows,
  ];
  return {
    configRevision: entry.node.config.state.revision,
    processes: all.map(({ peer, heardAtMs }) => ({
      ...peer,
      heardMsAgo: Math.round(nowMs - heardAtMs),
    })),
    counts: entry.metrics.counts(),
  };
}
