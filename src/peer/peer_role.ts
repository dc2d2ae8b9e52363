import type { ConnectRouter, ServiceImpl } from "@connectrpc/connect";
import type { PeerInfo } from "../core/members/peer_info.ts";
import type { PeerService } from "../rpc/gen/gypsumpond/v1/peer_pb.ts";
import type { UnaryRoutes } from "../rpc/unary_routes.ts";
import type { CellId } from "../schema/cell_id.ts";

/** The behaviour in which an entry and a sidecar differ as peers. */
export interface PeerRole {
  readonly role: PeerInfo["role"];
  /** The cell of a sidecar. */
  readonly cell?: CellId;
  /** Whether the process reads the configuration from the log itself. */
  readonly readsLog: boolean;
  /** The fields that the role adds to an announcement. */
  describe(): Partial<PeerInfo>;
  /** Called after each round of announcements. */
  afterAnnounce(): void;
  /** The methods of PeerService that concern the keeper. */
  keeperMethods(): Pick<
    ServiceImpl<typeof PeerService>,
    "keepAlive" | "wake" | "findJob"
  >;
  /** Adds the unary methods of the role's other services. */
  addUnaryRoutes(routes: UnaryRoutes): void;
  /** Adds the streaming methods of the role's other services. */
  addStreamRoutes(router: ConnectRouter): void;
}
