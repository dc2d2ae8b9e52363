import type { Labels } from "../../schema/labels.ts";
import type { PeerId } from "../../schema/peer_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellLedger } from "../fold/cell_ledger.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { ServiceLatency } from "../interfere/service_latency.ts";
import type { WorkerAnswer } from "../worker/worker_answer.ts";

/** An event that the host passes to the keeper. */
export type KeeperEvent =
  | { readonly kind: "tick" }
  | {
    readonly kind: "read";
    readonly startedAtMs: number;
    readonly from: number;
    readonly records: readonly CellRecord[];
    /** Whether the read reached the stream's end. */
    readonly reachedEnd: boolean;
    /** The oldest offset that the log still keeps. */
    readonly oldest: number;
  }
  | { readonly kind: "read_failed" }
  | {
    /** The log no longer keeps the next record: the ledger was rebuilt. */
    readonly kind: "reloaded";
    readonly ledger: CellLedger;
  }
  | {
    readonly kind: "appended";
    readonly startedAtMs: number;
    readonly first: number;
    readonly records: readonly CellRecord[];
  }
  | { readonly kind: "append_failed" }
  | {
    readonly kind: "report";
    readonly report: WorkerAnswer;
    readonly labels: Labels;
  }
  | { readonly kind: "unreachable"; readonly worker: WorkerId }
  | {
    readonly kind: "peers";
    readonly peers: readonly PeerId[];
    readonly workers: readonly WorkerId[];
    /** Delayed latency measurements of the services on the workers. */
    readonly latencies: readonly ServiceLatency[];
  }
  | {
    readonly kind: "pledged";
    readonly candidate: PeerId;
    readonly sentAtMs: number;
    readonly pledgeMs: number;
  }
  | {
    /** A record was appended elsewhere: read the log now. */
    readonly kind: "woken";
  };
