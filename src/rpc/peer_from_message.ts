import * as v from "valibot";
import type { PeerInfo } from "../core/members/peer_info.ts";
import { CellId } from "../schema/cell_id.ts";
import { Endpoint } from "../schema/endpoint.ts";
import { Labels } from "../schema/labels.ts";
import { Name } from "../schema/name.ts";
import { PeerId } from "../schema/peer_id.ts";
import { WorkerId } from "../schema/worker_id.ts";
import type { Peer } from "./gen/gypsumpond/v1/peer_pb.ts";

/** The fields that need no conversion but are validated. */
const ValidatedFields = v.object({
  id: PeerId,
  role: v.picklist(["entry", "sidecar"]),
  state: v.picklist(["starting", "ready", "leaving"]),
  dataCentre: Name,
  rack: Name,
});

/** Parses what a process announces about itself; throws if it is malformed. */
export function peerFromMessage(message: Peer): PeerInfo {
  const { runner, worker, keeper } = message;
  return {
    ...v.parse(ValidatedFields, message),
    incarnation: message.incarnation,
    startedAtMs: Number(message.startedAtMs),
    endpoint: endpointOf(message),
    configRevision: Number(message.configRevision),
    ...(message.cell === "" ? {} : { cell: v.parse(CellId, message.cell) }),
    ...(runner === undefined ? {} : {
      runner: {
        service: runner.service,
        inFlight: runner.inFlight,
        queued: runner.queued,
        limit: runner.limit,
        slots: runner.slots,
        latencyMs: runner.latencyMs,
      },
    }),
    ...(worker === undefined ? {} : {
      worker: {
        id: v.parse(WorkerId, worker.id),
        endpoint: endpointOf(worker),
        labels: v.parse(Labels, worker.labels),
      },
    }),
    ...(keeper === undefined ? {} : {
      keeper: {
        epoch: keeper.epoch,
        freeCpuMilli: keeper.freeCpuMilli,
        waitingTasks: keeper.waitingTasks,
      },
    }),
  };
}

function endpointOf({ host, port }: Endpoint): Endpoint {
  return v.parse(Endpoint, { host, port });
}
