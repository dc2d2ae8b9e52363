import type { PeerInfo } from "../members/peer_info.ts";
import type { RunnerStats } from "./runner_stats.ts";

/** A runner that requests may be sent to. */
export interface RoutableRunner {
  readonly peer: PeerInfo;
  readonly stats: RunnerStats;
}
