/** The address at which a peer accepts its keeper's connection. */
export interface PeerAddressRow {
  readonly role: "entry" | "sidecar";
  readonly host: string;
  readonly port: number;
  /** Distinguishes a process from its earlier incarnations. */
  readonly incarnation: string;
  /** The share of a keeper's resource needs that its machine meets, 0 to 1. */
  readonly strength: number;
}
