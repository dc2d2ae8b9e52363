import type { ConnectRouter, ServiceImpl } from "@connectrpc/connect";
import type { PeerInfo } from "../core/members/peer_info.ts";
import type { PeerService } from "../rpc/gen/gypsumpond/v1/peer_pb.ts";
import type { UnaryRoutes } from "../rpc/unary_routes.ts";
import type { CellId } from "../schema/cell_id.ts";

/** What sets one role of process apart from the other. */
export interface PeerRole {
  readonly role: PeerInfo["role"];
  readonly cell?: CellId;
  /** Whether the process reads the configuration from the log itself. */
  readonly readsLog: boolean;
  /** What the role adds to an announcement. */
  describe(): Partial<PeerInfo>;
  /** Called after each round of announcements. */
  onTick(): void;
  keeperMethods(): Pick<
    ServiceImpl<typeof PeerService>,
    "keepAlive" | "wake" | "findJob"
  >;
  /** Adds what the role answers besides. */
  addUnary(routes: UnaryRoutes): void;
  addStreams(router: ConnectRouter): void;
}
