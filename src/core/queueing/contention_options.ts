/** Which decisions of contended capacity a deployment has enabled. */
export interface ContentionOptions {
  /** Jobs that surely cannot end in time are refused. */
  readonly admits: boolean;
  /** Parties and jobs share contended capacity by `PartyShares`. */
  readonly sharesFairly: boolean;
}
