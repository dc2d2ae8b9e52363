import type { CellId } from "../../schema/cell_id.ts";
import type { Endpoint } from "../../schema/endpoint.ts";
import type { Labels } from "../../schema/labels.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";

/** What a process announces to its peers about itself. */
export interface PeerInfo {
  readonly id: PeerId;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly startedAtMs: number;
  readonly role: "entry" | "sidecar";
  readonly dataCentre: string;
  readonly rack: string;
  readonly endpoint: Endpoint;
  readonly state: "starting" | "ready" | "leaving";
  readonly configRevision: number;
  /** The load of the runner beside a sidecar, if one is announced. */
  readonly runner?: {
    readonly service: string;
    readonly inFlight: number;
    readonly queued: number;
    readonly limit: number;
    readonly slots: number;
    readonly latencyMs: number;
  };
  /** The worker beside a sidecar. */
  readonly worker?: {
    readonly id: WorkerId;
    readonly endpoint: Endpoint;
    readonly labels: Labels;
  };
  /** The cell of a sidecar. */
  readonly cell?: CellId;
  /** Present while the sidecar is the keeper of its cell. */
  readonly keeper?: {
    readonly epoch: number;
    readonly freeCpuMilli: number;
    readonly waitingTasks: number;
  };
}
