import { create } from "@bufbuild/protobuf";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { type Peer, PeerSchema } from "./gen/gypsumpond/v1/peer_pb.ts";

/** Builds the message of an announcement that was made `ageMs` ago. */
export function peerToMessage(peer: PeerInfo, ageMs = 0): Peer {
  const { endpoint, runner, worker, keeper } = peer;
  return create(PeerSchema, {
    id: peer.id,
    incarnation: peer.incarnation,
    startedAtMs: BigInt(peer.startedAtMs),
    role: peer.role,
    dataCentre: peer.dataCentre,
    rack: peer.rack,
    host: endpoint.host,
    port: endpoint.port,
    state: peer.state,
    configRevision: BigInt(peer.configRevision),
    ageMs: Math.max(0, Math.round(ageMs)),
    cell: peer.cell ?? "",
    ...(runner === undefined ? {} : { runner }),
    ...(worker === undefined ? {} : {
      worker: { id: worker.id, ...worker.endpoint, labels: worker.labels },
    }),
    ...(keeper === undefined ? {} : { keeper }),
  });
}
