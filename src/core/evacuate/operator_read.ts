/**
 * When the newest complete read of the operator's stream was sent, by both
 * clocks. It returned every row that was acknowledged before.
 */
export interface OperatorRead {
  readonly sentAtMs: number;
  readonly sentAtWallMs: number;
}
