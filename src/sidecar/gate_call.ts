/** A call as it reaches the gate of a runner. */
export interface GateCall {
  readonly requestId: string;
  readonly kind: "check" | "order";
  readonly member: string;
  readonly deadlineAtMs: number;
  readonly body: Uint8Array;
  readonly idempotencyKey: string;
}
