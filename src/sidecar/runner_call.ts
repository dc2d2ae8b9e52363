/** A call as the sidecar receives it for its runner. */
export interface RunnerCall {
  readonly requestId: string;
  readonly kind: "check" | "order";
  readonly member: string;
  readonly deadlineAtMs: number;
  readonly body: Uint8Array;
  readonly idempotencyKey: string;
}
