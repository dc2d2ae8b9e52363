import type { PeerId } from "../../schema/peer_id.ts";
import type { WorkerId } from "../../schema/worker_id.ts";
import type { CellRecord } from "../fold/cell_record.ts";
import type { VoidReason } from "../fold/void_reason.ts";
import type { InterferenceAction } from "../interfere/interference_action.ts";
import type { WorkerCommand } from "../worker/worker_command.ts";

/** An action that the keeper asks its host to perform. */
export type KeeperEffect =
  | { readonly kind: "append"; readonly records: readonly CellRecord[] }
  | { readonly kind: "read"; readonly from: number }
  | {
    readonly kind: "apply";
    readonly worker: WorkerId;
    /** Without a command the worker only reports. */
    readonly command?: WorkerCommand;
  }
  | {
    readonly kind: "keep_alive";
    readonly candidate: PeerId;
    readonly epoch: number;
    /** Whether the keeper cannot reach the log. */
    readonly withoutLog: boolean;
  }
  | {
    readonly kind: "verdict";
    readonly offset: number;
    readonly record: CellRecord;
    readonly voidReason?: VoidReason;
  }
  | {
    readonly kind: "interference";
    readonly action: InterferenceAction;
  }
  | { readonly kind: "state"; readonly state: string };
