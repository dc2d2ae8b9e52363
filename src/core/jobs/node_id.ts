/** The name of an entry or sidecar process; it stays the same over restarts. */
export type NodeId = string & { readonly __brand: "NodeId" };
