import type { CellId } from "../../schema/cell_id.ts";
import type { Endpoint } from "../../schema/endpoint.ts";
import type { Labels } from "../../schema/labels.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** What a process tells others about itself. */
export interface PeerInfo {
  readonly id: PeerId;
  readonly incarnation: string;
  readonly startedAtMs: number;
  readonly role: "entry" | "sidecar";
  readonly dataCentre: string;
  readonly rack: string;
  readonly endpoint: Endpoint;
  readonly state: "starting" | "ready" | "leaving";
  readonly configRevision: number;
  readonly runner?: {
    readonly service: string;
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    readonly slots: number;
    readonly latencyMs: number;
  };
  readonly worker?: {
    readonly id: WorkerId;
    readonly endpoint: Endpoint;
    readonly labels: Labels;
  };
  readonly cell?: CellId;
  readonly keeper?: {
    readonly epoch: number;
    readonly freeCpuMilli: number;
    readonly waitingTasks: number;
  };
}
