/** Where a process of ours takes its keeper's connection. */
export interface MemberRow {
  readonly role: "entry" | "sidecar";
  readonly host: string;
  readonly port: number;
  readonly incarnation: string;
  /** How far its machine's share suits a keeper, from 0 to 1. */
  readonly strength: number;
}
