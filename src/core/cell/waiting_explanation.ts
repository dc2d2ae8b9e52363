import type { NodeId } from "../jobs/node_id.ts";
import type { WaitingReason } from "./waiting_reason.ts";

/** Why a task does not run, with what decided it. */
export interface WaitingExplanation {
  readonly reason: WaitingReason;
  /** The worker that holds its claim, if any. */
  readonly worker: NodeId | undefined;
  /** What decided, by name; ages and remaining times in ms. */
  readonly inputs: Readonly<
    Record<string, string | number | boolean | undefined>
  >;
}
