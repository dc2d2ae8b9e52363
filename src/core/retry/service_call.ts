import type { MemberId } from "../../schema/member_id.ts";
import type { PeerId } from "../../schema/peer_id.ts";

/** A caller's request to a service. */
export interface ServiceCall {
  readonly id: string;
  readonly service: string;
  readonly member: MemberId;
  readonly kind: "check" | "order";
  readonly deadlineAtMs: number;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  /** The only process, and incarnation of it, that may run an order. */
  readonly home?: { readonly peer: PeerId; readonly incarnation: string };
}
